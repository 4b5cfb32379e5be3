/**
 * What a front meets, for trials and tests: machines, a list service, a release line and clients, all on loopback
 * sockets and all with faults on demand. Figures got with them are of stand-ins, not of real machines.
 */
package laurelkeel.testbed;
