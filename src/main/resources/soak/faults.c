/*
 * A library for LD_PRELOAD that makes system calls fail and the wall clock step, in ways that Linux documents.
 * It affects only the process that is started with it, and needs no privileges. Environment variables:
 *
 * SOAK_STEPS  AT:OFFSET[,AT:OFFSET...]
 *     From AT ms after the start of the process on, the wall clock is off by OFFSET ms.
 * SOAK_FAULTS CALL:ERRNO:FROM:FOR:PERCENT[,...]
 *     From FROM ms after the start, for FOR ms, PERCENT percent of the calls fail with the error number ERRNO.
 *     CALL is accept, socket, connect, wait (epoll_wait), read or write (of sockets), file (write to regular files) or
 *     open (of files). With ERRNO 0, read and write do not fail but transfer only one byte.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { MAX_ENTRIES = 32 };
struct step { long at, offset; };
struct fault { char call[16]; int error; long from, until; int percent; };

static struct step steps[MAX_ENTRIES];
static struct fault faults[MAX_ENTRIES];
static int step_count, fault_count;
static struct timespec started;
static atomic_uint random_counter = 1;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void parse_environment(void) {
    real_clock_gettime = REAL(clock_gettime);
    real_clock_gettime(CLOCK_MONOTONIC, &started);
    char *text = getenv("SOAK_STEPS");
    for (char *save, *entry = text ? strtok_r(strdup(text), ",", &save) : NULL; entry && step_count < MAX_ENTRIES;
            entry = strtok_r(NULL, ",", &save)) {
        char *end;
        steps[step_count].at = strtol(entry, &end, 10);
        steps[step_count++].offset = strtol(end + 1, NULL, 10);
    }
    text = getenv("SOAK_FAULTS");
    for (char *save, *entry = text ? strtok_r(strdup(text), ",", &save) : NULL; entry && fault_count < MAX_ENTRIES;
            entry = strtok_r(NULL, ",", &save)) {
        struct fault *f = &faults[fault_count++];
        char *colon = strchr(entry, ':');
        size_t length = (size_t) (colon - entry) < sizeof f->call ? (size_t) (colon - entry) : sizeof f->call - 1;
        memcpy(f->call, entry, length);
        char *end;
        f->error = (int) strtol(colon + 1, &end, 10);
        f->from = strtol(end + 1, &end, 10);
        f->until = f->from + strtol(end + 1, &end, 10);
        f->percent = (int) strtol(end + 1, NULL, 10);
    }
}

static long ms_since_start(void) {
    struct timespec now;
    if (!real_clock_gettime) {
        return 0;
    }
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - started.tv_sec) * 1000 + (now.tv_nsec - started.tv_nsec) / 1000000;
}

/*
 * Returns a pseudorandom number from 0 to 99, uniformly distributed. The sequence has no pattern that a caller
 * could synchronize with.
 */
static int random_percent(void) {
    uint32_t x = atomic_fetch_add(&random_counter, 1) * 2654435761u;
    x = (x ^ x >> 16) * 0x85ebca6bu;
    x = (x ^ x >> 13) * 0xc2b2ae35u;
    return (int) ((x ^ x >> 16) % 100);
}

/* Returns the error number to inject into this call, 0 for a transfer of one byte, or -1 for no fault. */
static int error_to_inject(const char *call) {
    if (fault_count == 0) {
        return -1;
    }
    long at = ms_since_start();
    for (int i = 0; i < fault_count; i++) {
        struct fault *f = &faults[i];
        if (at >= f->from && at < f->until && strcmp(f->call, call) == 0) {
            if (random_percent() < f->percent) {
                return f->error;
            }
        }
    }
    return -1;
}

static long wall_clock_offset_ms(void) {
    long offset = 0, at = step_count ? ms_since_start() : 0;
    for (int i = 0; i < step_count; i++) {
        if (at >= steps[i].at) {
            offset = steps[i].offset;
        }
    }
    return offset;
}

int clock_gettime(clockid_t clock, struct timespec *out) {
    if (!real_clock_gettime) {
        real_clock_gettime = REAL(clock_gettime);
    }
    int result = real_clock_gettime(clock, out);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        long offset = wall_clock_offset_ms();
        int64_t nanos = out->tv_nsec + (int64_t) (offset % 1000) * 1000000;
        out->tv_sec += offset / 1000 + (nanos < 0 ? -1 : nanos >= 1000000000 ? 1 : 0);
        out->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos >= 1000000000 ? nanos - 1000000000 : nanos;
    }
    return result;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) {
        *out = now.tv_sec;
    }
    return now.tv_sec;
}

static int fail_with(int error) {
    errno = error;
    return -1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int error = error_to_inject("accept");
    return error > 0 ? fail_with(error) : REAL(accept4)(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int error = error_to_inject("accept");
    return error > 0 ? fail_with(error) : REAL(accept)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    int error = error_to_inject("socket");
    return error > 0 ? fail_with(error) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int error = error_to_inject("connect");
    return error > 0 ? fail_with(error) : REAL(connect)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    int error = error_to_inject("wait");
    return error > 0 ? fail_with(error) : REAL(epoll_wait)(fd, events, max_events, timeout);
}

/* Returns whether fd refers to a file of this type; always 0 if no faults are configured. */
static int is_file_type(int fd, mode_t type) {
    struct stat s;
    return fault_count > 0 && fstat(fd, &s) == 0 && (s.st_mode & S_IFMT) == type;
}

ssize_t read(int fd, void *out, size_t length) {
    static ssize_t (*real)(int, void *, size_t);
    if (!real) {
        real = REAL(read);
    }
    int error = is_file_type(fd, S_IFSOCK) ? error_to_inject("read") : -1;
    return error > 0 ? fail_with(error) : real(fd, out, error == 0 && length > 1 ? 1 : length);
}

ssize_t write(int fd, const void *from, size_t length) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real) {
        real = REAL(write);
    }
    int error = is_file_type(fd, S_IFSOCK) ? error_to_inject("write")
            : fd > 2 && is_file_type(fd, S_IFREG) ? error_to_inject("file") : -1;
    return error > 0 ? fail_with(error) : real(fd, from, error == 0 && length > 1 ? 1 : length);
}

/* The variants of open differ only in the parameters before the flags. */
#define OPEN(name, parameters, arguments) \
    int name(parameters, int flags, ...) { \
        va_list rest; \
        va_start(rest, flags); \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
        va_end(rest); \
        int error = error_to_inject("open"); \
        return error > 0 ? fail_with(error) : REAL(name)(arguments, flags, mode); \
    }
#define COMMA_LIST(...) __VA_ARGS__

OPEN(open, const char *path, path)
OPEN(open64, const char *path, path)
OPEN(openat, COMMA_LIST(int directory, const char *path), COMMA_LIST(directory, path))
OPEN(openat64, COMMA_LIST(int directory, const char *path), COMMA_LIST(directory, path))
