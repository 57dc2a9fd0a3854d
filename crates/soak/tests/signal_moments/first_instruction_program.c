/* The control: a program without libraries that does nothing but block SIGHUP and SIGTERM by its first instructions. It ends at
   SIGTERM, with status 0 if it received SIGHUP before. */
#include <sys/syscall.h>

#define MASK "0x4001" /* SIGHUP and SIGTERM, a bit each */
#define MASK_BYTES "8"
#define HANGUP "1"
#define TEXT_OF(x) #x
#define TEXT(x) TEXT_OF(x)

__asm__(
    ".globl _start\n"
    "_start:\n"
    "  movq $" MASK ", -8(%rsp)\n"
    "  movl $" TEXT(SYS_rt_sigprocmask) ", %eax\n"
    "  xorl %edi, %edi\n" /* SIG_BLOCK */
    "  leaq -8(%rsp), %rsi\n"
    "  xorl %edx, %edx\n"
    "  movl $" MASK_BYTES ", %r10d\n"
    "  syscall\n"
    "  movl $1, %ebx\n" /* the status */
    "wait_for_signal:\n"
    "  movl $" TEXT(SYS_rt_sigtimedwait) ", %eax\n"
    "  leaq -8(%rsp), %rdi\n"
    "  xorl %esi, %esi\n"
    "  xorl %edx, %edx\n"
    "  movl $" MASK_BYTES ", %r10d\n"
    "  syscall\n"
    "  cmpl $" HANGUP ", %eax\n"
    "  jne end\n"
    "  xorl %ebx, %ebx\n"
    "  jmp wait_for_signal\n"
    "end:\n"
    "  movl $" TEXT(SYS_exit_group) ", %eax\n"
    "  movl %ebx, %edi\n"
    "  syscall\n");
