package org.heatherhaven.cli.run;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import net.jqwik.api.Example;
import org.heatherhaven.cli.RecordedText;
import org.heatherhaven.core.effect.Decision;
import org.heatherhaven.node.operator.DecisionLogger;
import org.slf4j.LoggerFactory;

/** Checks the format of log lines against recorded texts, because log collectors parse them. */
class RecordedLogTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static Decision decision(String subject, String rule, String result) {
        return new Decision(subject, NOW, 7, rule, "the \"figures\"", result);
    }

    private static void logEveryKind() {
        DecisionLogger decisions = new DecisionLogger(1);
        for (String subject : List.of("node", "policy", "target", "share/team-1/3", "slot/shop/2", "request-1")) {
            decisions.log(decision(subject, "rule of " + subject, "the result"));
        }
        for (int i = 0; i < 4; i++) {
            decisions.log(decision("request-" + i, "often", "refused"));
        }
        decisions.log(new Decision("request-9", NOW.plusSeconds(1), 7, "often", "figures", "refused"));
        for (int i = 0; i < 2; i++) {
            decisions.log(decision("node", "often", "control decisions are always written"));
        }
        var logger = LoggerFactory.getLogger("org.example.Anything");
        logger.warn("a line {} with a fault", 42, new IllegalStateException("the fault"));
        logger.debug("not written");
        LoggerFactory.getLogger("io.netty.util.concurrent.DefaultPromise").warn("not written either");
    }

    /**
     * Logs one line of every kind and returns what was printed.
     *
     * @param format log format, text or json
     * @param toOut true to capture standard output, false for standard error
     * @return printed lines, with timestamps and stack frames masked
     */
    private static List<String> loggedLines(String format, boolean toOut) {
        Logging.configure(format);
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (PrintStream stream = new PrintStream(buffer, true, StandardCharsets.UTF_8)) {
            if (toOut) {
                System.setOut(stream);
            } else {
                System.setErr(stream);
            }
            context.reset();
            new LogConfigurator().configure(context);
            logEveryKind();
            // Resetting the context stops the asynchronous appender, which writes its queued lines first.
            context.reset();
        } finally {
            System.setOut(out);
            System.setErr(err);
            Logging.configure("text");
            new LogConfigurator().configure(context);
        }
        return buffer.toString(StandardCharsets.UTF_8)
                .replaceAll("\"timestamp\":\\d+", "\"timestamp\":TIME")
                .replaceAll("(?m)^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}(Z|[+-]\\d\\d:\\d\\d)", "TIME")
                .replaceAll("\"stepArray\":\\[.*?]", "\"stepArray\":[FRAMES]")
                .replaceAll("(?m)^\\s+at .*$", "\tat FRAME")
                .lines()
                .toList();
    }

    @Example
    void jsonLinesMatchTheRecordedText() {
        RecordedText.require("log-json.txt", loggedLines("json", true));
    }

    @Example
    void textLinesMatchTheRecordedText() {
        RecordedText.require("log-text.txt", loggedLines("text", false));
    }
}
