/*
 * A library for LD_PRELOAD that lets system calls fail and the wall clock step, as Linux documents that they may.
 * It acts on the one process that is started with it and needs no rights.
 *
 * SOAK_STEPS  AT:OFFSET[,AT:OFFSET...]        from AT ms after the start the wall clock is OFFSET ms off
 * SOAK_FAULTS CALL:ERRNO:FROM:FOR:PERCENT[,...]  of the calls in FROM..FROM+FOR ms PERCENT fail with ERRNO (a number);
 *             CALL is accept, socket, connect, wait (epoll_wait), read, write (both of sockets), file (write of files) or
 *             open (of files);
 *             ERRNO 0 for read and write: they transfer one byte
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

enum { MOST = 32 };
struct step { long at, offset; };
struct fault { char call[16]; int error; long from, until; int percent; };

static struct step steps[MOST];
static struct fault faults[MOST];
static int step_count, fault_count;
static struct timespec started;
static atomic_uint draws = 1;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void set_up(void) {
    real_clock_gettime = REAL(clock_gettime);
    real_clock_gettime(CLOCK_MONOTONIC, &started);
    char *text = getenv("SOAK_STEPS");
    for (char *save, *each = text ? strtok_r(strdup(text), ",", &save) : NULL; each && step_count < MOST;
            each = strtok_r(NULL, ",", &save)) {
        char *end;
        steps[step_count].at = strtol(each, &end, 10);
        steps[step_count++].offset = strtol(end + 1, NULL, 10);
    }
    text = getenv("SOAK_FAULTS");
    for (char *save, *each = text ? strtok_r(strdup(text), ",", &save) : NULL; each && fault_count < MOST;
            each = strtok_r(NULL, ",", &save)) {
        struct fault *f = &faults[fault_count++];
        char *colon = strchr(each, ':');
        size_t length = (size_t) (colon - each) < sizeof f->call ? (size_t) (colon - each) : sizeof f->call - 1;
        memcpy(f->call, each, length);
        char *end;
        f->error = (int) strtol(colon + 1, &end, 10);
        f->from = strtol(end + 1, &end, 10);
        f->until = f->from + strtol(end + 1, &end, 10);
        f->percent = (int) strtol(end + 1, NULL, 10);
    }
}

static long since_start(void) {
    struct timespec now;
    if (!real_clock_gettime) {
        return 0;
    }
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - started.tv_sec) * 1000 + (now.tv_nsec - started.tv_nsec) / 1000000;
}

/* 0 to 99, evenly and in no order that a caller could fall in step with */
static int drawn(void) {
    uint32_t x = atomic_fetch_add(&draws, 1) * 2654435761u;
    x = (x ^ x >> 16) * 0x85ebca6bu;
    x = (x ^ x >> 13) * 0xc2b2ae35u;
    return (int) ((x ^ x >> 16) % 100);
}

/* -1: it does not fail; else the error, 0 for a short transfer */
static int fails(const char *call) {
    if (fault_count == 0) {
        return -1;
    }
    long at = since_start();
    for (int i = 0; i < fault_count; i++) {
        struct fault *f = &faults[i];
        if (at >= f->from && at < f->until && strcmp(f->call, call) == 0) {
            if (drawn() < f->percent) {
                return f->error;
            }
        }
    }
    return -1;
}

static long wall_offset(void) {
    long offset = 0, at = step_count ? since_start() : 0;
    for (int i = 0; i < step_count; i++) {
        if (at >= steps[i].at) {
            offset = steps[i].offset;
        }
    }
    return offset;
}

int clock_gettime(clockid_t clock, struct timespec *to) {
    if (!real_clock_gettime) {
        real_clock_gettime = REAL(clock_gettime);
    }
    int result = real_clock_gettime(clock, to);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        long offset = wall_offset();
        int64_t nanos = to->tv_nsec + (int64_t) (offset % 1000) * 1000000;
        to->tv_sec += offset / 1000 + (nanos < 0 ? -1 : nanos >= 1000000000 ? 1 : 0);
        to->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos >= 1000000000 ? nanos - 1000000000 : nanos;
    }
    return result;
}

int gettimeofday(struct timeval *restrict to, void *restrict zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    to->tv_sec = now.tv_sec;
    to->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *to) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (to) {
        *to = now.tv_sec;
    }
    return now.tv_sec;
}

static int failed(int error) {
    errno = error;
    return -1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int error = fails("accept");
    return error > 0 ? failed(error) : REAL(accept4)(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    int error = fails("accept");
    return error > 0 ? failed(error) : REAL(accept)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    int error = fails("socket");
    return error > 0 ? failed(error) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int error = fails("connect");
    return error > 0 ? failed(error) : REAL(connect)(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    int error = fails("wait");
    return error > 0 ? failed(error) : REAL(epoll_wait)(fd, events, most, timeout);
}

static int is(int fd, mode_t kind) {
    struct stat s;
    return fault_count > 0 && fstat(fd, &s) == 0 && (s.st_mode & S_IFMT) == kind;
}

ssize_t read(int fd, void *to, size_t length) {
    static ssize_t (*real)(int, void *, size_t);
    if (!real) {
        real = REAL(read);
    }
    int error = is(fd, S_IFSOCK) ? fails("read") : -1;
    return error > 0 ? failed(error) : real(fd, to, error == 0 && length > 1 ? 1 : length);
}

ssize_t write(int fd, const void *from, size_t length) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real) {
        real = REAL(write);
    }
    int error = is(fd, S_IFSOCK) ? fails("write") : fd > 2 && is(fd, S_IFREG) ? fails("file") : -1;
    return error > 0 ? failed(error) : real(fd, from, error == 0 && length > 1 ? 1 : length);
}

/* open and its two kin differ in their first arguments alone */
#define OPEN(name, parameters, arguments) \
    int name(parameters, int flags, ...) { \
        va_list rest; \
        va_start(rest, flags); \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
        va_end(rest); \
        int error = fails("open"); \
        return error > 0 ? failed(error) : REAL(name)(arguments, flags, mode); \
    }
#define LIST(...) __VA_ARGS__

OPEN(open, const char *path, path)
OPEN(open64, const char *path, path)
OPEN(openat, LIST(int folder, const char *path), LIST(folder, path))
OPEN(openat64, LIST(int folder, const char *path), LIST(folder, path))
