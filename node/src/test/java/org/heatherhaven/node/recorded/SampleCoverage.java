package org.heatherhaven.node.recorded;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Requires of samples that a component that is left out, or swapped with another, would be seen in some of them. */
public final class SampleCoverage {

    private final Map<String, Boolean> seen = new TreeMap<>();

    private SampleCoverage() {}

    /** Requires that each component of each record, at any depth, has a telling value in one of the samples. */
    public static void require(Collection<?> samples) {
        SampleCoverage filled = new SampleCoverage();
        samples.forEach(filled::visit);
        filled.seen.values().removeIf(Boolean::booleanValue);
        if (!filled.seen.isEmpty()) {
            throw new AssertionError("never seen in the samples: " + filled.seen.keySet());
        }
    }

    private void visit(Object value) {
        if (value instanceof Optional<?> optional) {
            optional.ifPresent(this::visit);
        } else if (value instanceof Collection<?> values) {
            values.forEach(this::visit);
        } else if (value instanceof Record) {
            visitRecord(value);
        }
    }

    private void visitRecord(Object value) {
        RecordComponent[] components = value.getClass().getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            String name = value.getClass().getSimpleName() + "." + components[i].getName();
            values[i] = read(components[i], value);
            note(name + " filled", !empty(values[i]));
            if (values[i] instanceof Optional<?> optional) {
                note(name + " absent", optional.isEmpty());
            }
            for (int j = 0; j < i; j++) {
                if (components[j].getGenericType().equals(components[i].getGenericType())) {
                    note(name + " unlike " + components[j].getName(), !values[j].equals(values[i]));
                }
            }
            visit(values[i]);
        }
    }

    private void note(String what, boolean holds) {
        seen.merge(what, holds, Boolean::logicalOr);
    }

    private static Object read(RecordComponent component, Object value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("can't read " + component, e);
        }
    }

    private static boolean empty(Object value) {
        if (value instanceof Number number) {
            return number.doubleValue() == 0;
        }
        if (value instanceof byte[] bytes) {
            return Arrays.equals(bytes, new byte[bytes.length]);
        }
        if (value instanceof Enum<?> constant) {
            return constant.ordinal() == 0;
        }
        if (value instanceof Collection<?> values) {
            return values.isEmpty();
        }
        return value.equals("") || value.equals(false) || value.equals(Duration.ZERO) || value.equals(Optional.empty());
    }
}
