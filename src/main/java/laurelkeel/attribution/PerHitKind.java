package laurelkeel.attribution;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Holds one object for each kind of hit. */
final class PerHitKind<T> {
    private final Map<HitKind, T> values = new EnumMap<>(HitKind.class);

    PerHitKind(Supplier<T> factory) {
        for (HitKind kind : HitKind.values()) {
            values.put(kind, factory.get());
        }
    }

    T get(HitKind kind) {
        return Objects.requireNonNull(values.get(kind));
    }

    void forEach(Consumer<T> action) {
        values.values().forEach(action);
    }
}
