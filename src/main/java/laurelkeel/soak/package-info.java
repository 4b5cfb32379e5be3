/** Real front node processes between stand-ins with faults, one seed a run, judged from the sockets. */
package laurelkeel.soak;
