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
 * Writes decisions to the log, as many of each kind in a second as a log can bear; the next line of the kind says how
 * many were left out. Changes of what the node believes are always written.
 */
public final class DecisionLogger {

    private static final Logger LOGGER = LoggerFactory.getLogger(DecisionLogger.class);
    private static final Set<String> CONTROL_SUBJECTS = Set.of("node", "policy", "target");
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int MAX_KINDS = 1_000;

    private final int linesPerKind;
    private final Map<String, Window> windows = new HashMap<>();

    /** Lines of one kind in the present second. */
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
     * @param linesPerKind lines of one kind that are written in a second
     */
    public DecisionLogger(int linesPerKind) {
        this.linesPerKind = linesPerKind;
    }

    /**
     * Writes a decision, or counts it.
     *
     * @param decision the decision
     */
    public void log(Decision decision) {
        if (CONTROL_SUBJECTS.contains(decision.requestId())) {
            write(decision, 0);
            return;
        }
        int leftOut = tryAcquireLine(decision);
        if (leftOut >= 0) {
            write(decision, leftOut);
        }
    }

    /** Number of lines left out before this one; negative if this one is left out, too. */
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
        int leftOut = window.suppressed;
        window.suppressed = 0;
        return leftOut;
    }

    private static void write(Decision decision, int leftOut) {
        LoggingEventBuilder line = LOGGER.atInfo()
                .addKeyValue("subject", decision.requestId())
                .addKeyValue("rule", decision.rule())
                .addKeyValue("because", decision.measure())
                .addKeyValue("result", decision.result())
                .addKeyValue("policy_version", decision.policyVersion());
        if (leftOut > 0) {
            line = line.addKeyValue("left_out", leftOut);
        }
        line.log("{}: {}", decision.rule(), decision.result());
    }
}
