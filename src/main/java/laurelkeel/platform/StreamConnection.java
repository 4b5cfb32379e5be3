package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.ReconnectBackoff;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one connection to a source that goes on telling. Where it is silent for long or its address moves, another is
 * opened beside it, and the old one ends once the new one has spoken: nothing told in between is missed. Loop only.
 */
final class StreamConnection {
    private static final Logger LOG = LoggerFactory.getLogger(StreamConnection.class);
    private static final long LOOK = 1_000;
    /** A source that is up answers at once: one that has not by then is tried anew. */
    private static final long FIRST_WORD = 7_000;
    /** The platform counts as told after some seconds what it could not tell: come back well before. */
    private static final long LEAST_PAUSE_MS = 100, MOST_PAUSE_MS = 1_000;

    /** Reads one connection's bytes. */
    interface Ear {
        /** True where it has told something. */
        boolean take(byte[] bytes, long arrived) throws MalformedMessageException;
    }

    private final String name;
    private final ServiceConnections links;
    private final EventLoop loop;
    private final Supplier<byte[]> opening;
    private final Supplier<Ear> ears;
    private final long silence;
    private final ReconnectBackoff pause;
    private InetSocketAddress at;
    private One current, beside;
    private long again;
    private boolean started, closed;

    /** One connection and what it told. */
    private final class One implements ServiceConnections.Heard {
        private final Ear ear = ears.get();
        private final InetSocketAddress where = at;
        private final long since = loop.nowTicks();
        /** When it last told something, and when bytes of it last came, which may be of something not yet whole. */
        private long toldAt = since, bytesAt = since;

        private final ServiceConnections.ServiceConnection link = links.open(at, opening.get(), this);

        @Override
        public void bytes(byte[] bytes, long arrived) {
            bytesAt = loop.nowTicks();
            try {
                if (ear.take(bytes, arrived)) {
                    toldAt = bytesAt;
                    if (beside == this) {
                        replaces();
                    }
                }
            } catch (MalformedMessageException e) {
                LOG.warn("{} said what cannot be read and is asked anew: {}", name, e.getMessage());
                link.close();
                lost(this);
            } catch (RuntimeException e) {
                // whatever a source says, the front goes on with what it has
                LOG.error("{} said what could not be followed and is asked anew", name, e);
                link.close();
                lost(this);
            }
        }

        private void replaces() {
            if (current != null) {
                current.link.close();
            }
            current = this;
            beside = null;
            pause.reset();
        }

        @Override
        public void closed(boolean written) {
            LOG.warn("{}: the connection ended", name);
            lost(this);
        }
    }

    /**
     * Complete, and silent until it starts.
     *
     * @param at where the source is, until it moves
     * @param silence after so long with nothing told another connection is opened beside
     */
    StreamConnection(
            String name,
            ServiceConnections links,
            EventLoop loop,
            long seed,
            InetSocketAddress at,
            long silence,
            Supplier<byte[]> opening,
            Supplier<Ear> ears) {
        this.name = name;
        this.links = links;
        this.loop = loop;
        this.at = at;
        this.silence = silence;
        this.opening = opening;
        this.ears = ears;
        this.pause = new ReconnectBackoff(seed, LEAST_PAUSE_MS, MOST_PAUSE_MS);
    }

    /** Once; a source that has moved or closed before is dialled where it is now, or not at all. */
    void start() {
        if (!started && !closed) {
            started = true;
            beside = new One();
            look();
        }
    }

    /** The source is at another address from now on; the old one is heard until the new one speaks. */
    void move(InetSocketAddress to) {
        if (closed || to.equals(at)) {
            return;
        }
        at = to;
        if (started) {
            drop();
            beside = new One();
        }
    }

    void close() {
        closed = true;
        drop();
        if (current != null) {
            current.link.close();
        }
    }

    private void drop() {
        if (beside != null) {
            beside.link.close();
            beside = null;
        }
    }

    private void lost(One one) {
        boolean told = one == current;
        current = told ? null : current;
        beside = one == beside ? null : beside;
        // one that had told is likely back at once; one that never did is not
        again = told ? loop.nowTicks() : loop.nowTicks() + pause.nextDelayMillis() * 10;
        if (told && beside == null && !closed) {
            beside = new One();
        }
    }

    private void look() {
        if (closed) {
            return;
        }
        long now = loop.nowTicks();
        loop.schedule(now + LOOK, this::look);
        if (beside != null && (now > beside.bytesAt + FIRST_WORD || now > beside.since + silence)) {
            drop();
            again = now + pause.nextDelayMillis() * 10;
        }
        // one at an address that was given up ends soon, or is told nothing more
        boolean silent = current == null || !current.where.equals(at) || now > current.toldAt + silence;
        if (beside == null && silent && now >= again) {
            beside = new One();
        }
    }
}
