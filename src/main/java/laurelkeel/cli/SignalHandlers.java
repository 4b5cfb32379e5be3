package laurelkeel.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Installs handlers for signals sent to the process. */
final class SignalHandlers {
    private static final Logger LOG = LoggerFactory.getLogger(SignalHandlers.class);

    private SignalHandlers() {}

    /**
     * Installs a handler, which runs on a separate thread for each signal. A failure of the handler is logged and does
     * not stop the process.
     *
     * @param name the signal's name without the prefix SIG, for example TERM
     */
    static void install(String name, Runnable handler) {
        Signal.handle(new Signal(name), signal -> {
            LOG.info("received SIG{}", name);
            try {
                handler.run();
            } catch (RuntimeException | StackOverflowError e) {
                LOG.error("the handler of SIG{} failed; the node continues as before", name, e);
            }
        });
    }
}
