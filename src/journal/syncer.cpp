#include "journal/syncer.h"

#include <concurrentqueue/blockingconcurrentqueue.h>
#include <sys/eventfd.h>

#include <csignal>
#include <thread>
#include <utility>

#include "net/socket.h"

namespace myrtleloft {

SyncDone syncNow(Files& files, const std::string& folder, const SyncJob& job) {
  SyncDone done{job.position, 0};
  for (const auto& file : job.files)
    if (const int fault = file->sync()) done.fault = fault;
  if (job.folder)
    if (const int fault = files.syncFolder(folder)) done.fault = fault;
  return done;
}

class ThreadSyncer::Impl {
 public:
  Impl(Files& files, std::string folder)
      : files_(files), folder_(std::move(folder)), event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    // A signal must come to the loop, which waits for it; here it would end the process.
    sigset_t all, before;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { work(); });
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  ~Impl() {
    jobs_.enqueue({});
    thread_.join();
  }

  void submit(SyncJob job) { jobs_.enqueue(std::move(job)); }
  std::optional<SyncDone> collect() {
    std::uint64_t count = 0;
    if (::read(event_.get(), &count, sizeof count) < 0) count = 0;  // nothing is readable: nothing is done
    SyncDone done;
    return done_.try_dequeue(done) ? std::optional(done) : std::nullopt;
  }
  int fd() const { return event_.get(); }

 private:
  void signal() {
    const std::uint64_t one = 1;
    if (::write(event_.get(), &one, sizeof one) < 0) return;  // full: it is readable already
  }
  void work() {
    for (SyncJob job;;) {
      jobs_.wait_dequeue(job);
      if (job.files.empty()) return;  // the destructor's
      done_.enqueue(syncNow(files_, folder_, job));
      job = {};
      signal();
    }
  }

  Files& files_;
  std::string folder_;
  Fd event_;
  moodycamel::BlockingConcurrentQueue<SyncJob> jobs_;
  moodycamel::ConcurrentQueue<SyncDone> done_;
  std::thread thread_;
};

ThreadSyncer::ThreadSyncer(Files& files, std::string folder)
    : impl_(std::make_unique<Impl>(files, std::move(folder))) {}
ThreadSyncer::~ThreadSyncer() = default;
void ThreadSyncer::submit(SyncJob job) { impl_->submit(std::move(job)); }
std::optional<SyncDone> ThreadSyncer::collect() { return impl_->collect(); }
int ThreadSyncer::fd() const { return impl_->fd(); }

}  // namespace myrtleloft
