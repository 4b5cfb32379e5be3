package laurelkeel.front;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import laurelkeel.front.ingress.ClientState;

/** The number of attempts that the decider has asked for, by the state of their clients at that time. Thread-safe. */
final class ClientStateCounts {
    /** Filled with all states by the constructor and not modified afterwards, so that it can be read without a lock. */
    private final Map<ClientState, AtomicLong> counts = new EnumMap<>(ClientState.class);

    ClientStateCounts() {
        for (ClientState state : ClientState.values()) {
            counts.put(state, new AtomicLong());
        }
    }

    void increment(ClientState state) {
        Objects.requireNonNull(counts.get(state)).incrementAndGet();
    }

    long count(ClientState state) {
        return Objects.requireNonNull(counts.get(state)).get();
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
