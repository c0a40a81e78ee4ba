package org.heatherhaven.cli.run;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets up the log without a file, so that no XML has to be read at each start.
 *
 * <p>Lines for people go to standard error, structured lines to standard output.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0}: %msg%n%ex{short}";
    private static final int QUEUED_LINES = 2_048;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        // The client logs a connection that arrives after its request has timed out as an exception.
        context.getLogger("io.netty.util.concurrent.DefaultPromise").setLevel(Level.ERROR);
        var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(Logging.structured() ? structured(context) : console(context, "System.err", text(context)));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static AsyncAppender structured(LoggerContext context) {
        // A slow reader of the log must never hold up a call: what does not fit is dropped.
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUED_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console(context, "System.out", json(context)));
        queue.start();
        return queue;
    }

    private static ConsoleAppender<ILoggingEvent> console(
            LoggerContext context, String target, Encoder<ILoggingEvent> encoder) {
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }
}
