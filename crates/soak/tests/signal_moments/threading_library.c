/* A preloaded library that starts a thread and waits before the program's first instruction. */
#include <pthread.h>
#include <unistd.h>

static void *wait_in_thread(void *unused) {
  pause();
  return unused;
}

__attribute__((constructor)) static void start_thread(void) {
  pthread_t thread;
  pthread_create(&thread, 0, wait_in_thread, 0);
  pause();
}
