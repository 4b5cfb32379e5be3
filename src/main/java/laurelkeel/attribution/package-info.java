/**
 * Which of several releases on trial most likely caused a drop in service. Pure: reports go in, findings come out; no
 * clock, no sockets, no chance. docs/blame.md explains the statistics and what they promise.
 */
package laurelkeel.attribution;
