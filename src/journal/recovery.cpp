#include "journal/recovery.h"

#include "journal/folder_reader.h"

namespace myrtleloft {

Result<Recovered, JournalError> recover(Files& files, const std::string& folder,
                                        const RecoveryOptions& options) {
  return FolderReader(files, folder, options).run();
}

}  // namespace myrtleloft
