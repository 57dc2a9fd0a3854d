/* The control: a program that does nothing but block SIGHUP and SIGTERM by its first instruction, as the program under test does.
   It ends at SIGTERM, with status 0 if it received SIGHUP before. */
#include <signal.h>
#include <unistd.h>

static void block(void) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, 0);
}

__attribute__((section(".preinit_array"), used)) static void (*block_at_start)(void) = block;

int main(void) {
  sigset_t signals;
  int signal = 0, hangups = 0;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
    hangups++;
  }
  _exit(hangups > 0 ? 0 : 1);
}
