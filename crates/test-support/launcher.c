/* Replaces itself by a program that the kernel ends with the process that started it: launcher PARENT PROGRAM ARGS...
 * The setting survives exec, and is the reason for this program: it can only be made by the child itself. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <unistd.h>

enum { PARENT_LOST = 126, NOT_STARTED = 127 };

int main(int argc, char **argv) {
    if (argc < 3) return NOT_STARTED;
    /* A parent that has ended before this call sends no signal any more. */
    if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != atol(argv[1])) return PARENT_LOST;
    execvp(argv[2], argv + 2);
    perror(argv[2]);
    return NOT_STARTED;
}
