/** One thread that owns state, with posts from others and alarms; fronts and stand-ins are built on it. */
package laurelkeel.eventloop;
