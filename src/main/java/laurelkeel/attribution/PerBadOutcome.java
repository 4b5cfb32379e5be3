package laurelkeel.attribution;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Holds one object for each kind of bad outcome. */
final class PerBadOutcome<T> {
    private final Map<BadOutcome, T> values = new EnumMap<>(BadOutcome.class);

    PerBadOutcome(Supplier<T> factory) {
        for (BadOutcome kind : BadOutcome.values()) {
            values.put(kind, factory.get());
        }
    }

    T get(BadOutcome kind) {
        return Objects.requireNonNull(values.get(kind));
    }

    void forEach(Consumer<T> action) {
        values.values().forEach(action);
    }
}
