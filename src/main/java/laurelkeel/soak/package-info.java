/** Real front node processes between stand-ins: with faults, one seed a run, judged from the sockets; and behind many machines. */
package laurelkeel.soak;
