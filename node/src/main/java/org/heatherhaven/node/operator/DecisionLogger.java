package org.heatherhaven.node.operator;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.heatherhaven.core.effect.Decision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes decisions to the application log. The number of lines per second is limited for each kind of decision (rule
 * and result); the next line of the kind shows how many were suppressed. Decisions about the node, its policy and its
 * target are always written.
 */
public final class DecisionLogger {

    private static final Logger LOGGER = LoggerFactory.getLogger(DecisionLogger.class);
    private static final Set<String> CONTROL_SUBJECTS = Set.of("node", "policy", "target");
    private static final Duration WINDOW = Duration.ofSeconds(1);
    /** Limit of the kinds tracked; beyond it all counts are dropped. */
    private static final int MAX_KINDS = 1_000;

    private final int linesPerKind;
    private final Map<String, Window> windows = new HashMap<>();

    /** Lines of one kind of decision in the current second. */
    private static final class Window {

        private Instant endsAt;
        private int written;
        private int suppressed;

        private Window(Instant endsAt) {
            this.endsAt = endsAt;
        }
    }

    /**
     * Creates a logger.
     *
     * @param linesPerKind maximum number of lines per second for each kind of decision
     */
    public DecisionLogger(int linesPerKind) {
        this.linesPerKind = linesPerKind;
    }

    /**
     * Writes a decision, or counts it as suppressed if its kind has reached the limit.
     *
     * @param decision the decision
     */
    public void log(Decision decision) {
        if (CONTROL_SUBJECTS.contains(decision.requestId())) {
            write(decision, 0);
            return;
        }
        int suppressed = tryAcquireLine(decision);
        if (suppressed >= 0) {
            write(decision, suppressed);
        }
    }

    /**
     * Returns the number of lines of this kind suppressed since the last one written, or -1 to suppress this one, too.
     */
    int tryAcquireLine(Decision decision) {
        if (windows.size() > MAX_KINDS) {
            windows.clear();
        }
        Window window = windows.computeIfAbsent(
                decision.rule() + "|" + decision.result(),
                kind -> new Window(decision.at().plus(WINDOW)));
        if (!decision.at().isBefore(window.endsAt)) {
            window.endsAt = decision.at().plus(WINDOW);
            window.written = 0;
        }
        if (window.written >= linesPerKind) {
            window.suppressed++;
            return -1;
        }
        window.written++;
        int suppressed = window.suppressed;
        window.suppressed = 0;
        return suppressed;
    }

    private static void write(Decision decision, int suppressed) {
        LoggingEventBuilder line = LOGGER.atInfo()
                .addKeyValue("subject", decision.requestId())
                .addKeyValue("rule", decision.rule())
                .addKeyValue("because", decision.measure())
                .addKeyValue("result", decision.result())
                .addKeyValue("policy_version", decision.policyVersion());
        if (suppressed > 0) {
            line = line.addKeyValue("left_out", suppressed);
        }
        line.log("{}: {}", decision.rule(), decision.result());
    }
}
