/** A scripted day: real front processes between stand-ins, trouble on a schedule, and the rules judged at the end. */
package laurelkeel.scenario;
