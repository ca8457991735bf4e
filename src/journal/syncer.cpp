#include "journal/syncer.h"

#include <sys/eventfd.h>

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

#include "net/socket.h"

namespace myrtleloft {

SyncResult syncNow(Files& files, const std::string& folder, const SyncJob& job) {
  SyncResult done{job.position, std::nullopt};
  for (const auto& file : job.files)
    if (auto error = file->sync()) done.error = std::move(error);
  if (job.folder)
    if (auto error = files.syncFolder(folder)) done.error = std::move(error);
  return done;
}

class ThreadSyncer::Impl {
 public:
  Impl(Files& files, std::string folder)
      : files_(files), folder_(std::move(folder)), event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    // All signals are blocked in this thread: the event loop handles them, and here they would end the
    // process.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before);
    try {
      thread_ = std::thread([this] { work(); });
    } catch (const std::system_error&) {
      event_.reset();  // an invalid descriptor tells that there is no thread
    }
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  ~Impl() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable()) thread_.join();
  }

  void submit(SyncJob job) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      job_ = std::move(job);
    }
    wake_.notify_one();
  }
  std::optional<SyncResult> collect() {
    std::uint64_t count = 0;
    if (::read(event_.get(), &count, sizeof count) < 0) count = 0;  // not readable: no job has finished
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(done_, std::nullopt);
  }
  int fd() const { return event_.get(); }

 private:
  void signal() {
    const std::uint64_t one = 1;
    if (::write(event_.get(), &one, sizeof one) < 0) return;  // counter is full: already readable
  }
  void work() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      wake_.wait(lock, [this] { return stopping_ || job_; });
      if (!job_) return;  // a submitted job is finished before the thread ends
      SyncResult done;
      {
        const SyncJob job = *std::exchange(job_, std::nullopt);
        lock.unlock();
        done = syncNow(files_, folder_, job);
      }
      lock.lock();
      done_ = done;
      signal();
    }
  }

  Files& files_;
  std::string folder_;
  Fd event_;
  std::mutex mutex_;  // guards the next three members; never held during a sync
  std::optional<SyncJob> job_;
  std::optional<SyncResult> done_;
  bool stopping_ = false;
  std::condition_variable wake_;
  std::thread thread_;  // last, because it uses the other members
};

ThreadSyncer::ThreadSyncer(Files& files, std::string folder)
    : impl_(std::make_unique<Impl>(files, std::move(folder))) {}
ThreadSyncer::~ThreadSyncer() = default;
void ThreadSyncer::submit(SyncJob job) { impl_->submit(std::move(job)); }
std::optional<SyncResult> ThreadSyncer::collect() { return impl_->collect(); }
int ThreadSyncer::fd() const { return impl_->fd(); }

}  // namespace myrtleloft
