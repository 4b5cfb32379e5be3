package laurelkeel.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Installs handlers for the signals that the process gets. */
final class SignalHandlers {
    private static final Logger LOG = LoggerFactory.getLogger(SignalHandlers.class);

    private SignalHandlers() {}

    /**
     * Runs a handler for each signal of a name, on a thread of that signal's own. A handler that fails is logged and ends
     * nothing.
     *
     * @param name without SIG, as TERM
     */
    static void install(String name, Runnable handler) {
        Signal.handle(new Signal(name), signal -> {
            LOG.info("SIG{}", name);
            try {
                handler.run();
            } catch (RuntimeException | StackOverflowError e) {
                LOG.error("SIG{} could not be handled; the node goes on as before", name, e);
            }
        });
    }
}
