package org.heatherhaven.node.recorded;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect.PatchVerdict;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;
import org.heatherhaven.core.message.PermitResponse.Verdict;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.settings.TomlTable;

/** Guards the names, ordinals and labels of constants that are sent, stored, hashed, shown or read from settings. */
class RecordedConstantsTest {

    private static final String NO_LABEL = "-";

    private final List<String> lines = new ArrayList<>();

    /** Adds a line for each constant: a key independent of the class name, the ordinal, the name and the shown form. */
    private <E extends Enum<E>> void add(String key, Class<E> type, Function<E, String> label) {
        for (E constant : type.getEnumConstants()) {
            lines.add(key + " " + constant.ordinal() + " " + constant.name() + " " + label.apply(constant));
        }
    }

    /** Returns the form of a constant in settings, lower case with hyphens, if it can be read back. */
    private static <E extends Enum<E>> String inSettings(E constant) {
        String text = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
        E read = TomlTable.parse("test", "it = \"" + text + "\"")
                .enumConstant("it", constant.getDeclaringClass(), Optional.empty());
        return read == constant ? text : "not readable";
    }

    @Example
    void constantsAreThoseRecorded() {
        add("importance", Importance.class, RecordedConstantsTest::inSettings);
        add("attempt-kind", AttemptKind.class, constant -> NO_LABEL);
        add("reason", Reason.class, reason -> reason.label() + " " + reason.status() + " " + reason.retryable());
        add("outcome", Outcome.class, Outcome::label);
        add("right-kind", LeaseId.Kind.class, kind -> new LeaseId(kind, "name", 7).toString());
        add("member-status", MemberStatus.class, MemberStatus::toString);
        add("permit-verdict", Verdict.class, Verdict::toString);
        add("patch-verdict", PatchVerdict.class, verdict -> verdict.name().toLowerCase(Locale.ROOT));
        add("answer-anomaly", AnswerAnomaly.class, AnswerAnomaly::label);
        add("latency", Timing.class, Timing::label);
        add("admission-setting", AdmissionMode.class, RecordedConstantsTest::inSettings);
        add("routing-setting", RoutingMode.class, RecordedConstantsTest::inSettings);
        add("retry-setting", RetryMode.class, RecordedConstantsTest::inSettings);
        Recorded.requireSame("constants.txt", lines);
    }

    @Example
    void countersAreThoseRecorded() {
        Recorded.requireSame(
                "counters.txt", List.copyOf(new NodeMetrics().values().keySet()));
    }

    @Example
    void recordedConstantsHaveOneLineEach() {
        List<String> recorded = Recorded.lines("constants.txt");
        long distinct = recorded.stream()
                .map(line -> String.join(" ", Arrays.asList(line.split(" ")).subList(0, 2)))
                .distinct()
                .count();
        if (recorded.isEmpty() || distinct != recorded.size()) {
            throw new AssertionError(recorded.size() + " lines, " + distinct + " constants");
        }
    }
}
