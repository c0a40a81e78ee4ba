package org.heatherhaven.node.recorded;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Checks that samples of records reveal mistakes: if a component is dropped, or swapped with another of the same type,
 * some sample must change.
 */
public final class SampleCoverage {

    private final Map<String, Boolean> checks = new TreeMap<>();

    private SampleCoverage() {}

    /**
     * Requires, for each component of each record at any depth, a sample with a value other than the default, one
     * without a value if it is optional, and one in which it differs from each other component of its type.
     */
    public static void require(Collection<?> samples) {
        SampleCoverage coverage = new SampleCoverage();
        samples.forEach(coverage::visit);
        coverage.checks.values().removeIf(Boolean::booleanValue);
        if (!coverage.checks.isEmpty()) {
            throw new AssertionError("not covered by the samples: " + coverage.checks.keySet());
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
            addCheck(name + " filled", !isDefault(values[i]));
            if (values[i] instanceof Optional<?> optional) {
                addCheck(name + " absent", optional.isEmpty());
            }
            for (int j = 0; j < i; j++) {
                if (components[j].getGenericType().equals(components[i].getGenericType())) {
                    addCheck(name + " unlike " + components[j].getName(), !values[j].equals(values[i]));
                }
            }
            visit(values[i]);
        }
    }

    private void addCheck(String what, boolean holds) {
        checks.merge(what, holds, Boolean::logicalOr);
    }

    private static Object read(RecordComponent component, Object value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("can't read " + component, e);
        }
    }

    /** Returns whether a value is the default of its type, such as zero, an empty text or the first constant. */
    private static boolean isDefault(Object value) {
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
