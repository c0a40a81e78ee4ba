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
 * Configures Logback in code, which avoids parsing an XML file at each start.
 *
 * <p>Text lines go to standard error, JSON lines to standard output.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0}: %msg%n%ex{short}";
    private static final int LOG_QUEUE_SIZE = 2_048;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        // The HTTP client logs an exception for each connection that opens after its request has timed out.
        context.getLogger("io.netty.util.concurrent.DefaultPromise").setLevel(Level.ERROR);
        var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(
                Logging.usesJson()
                        ? asyncJsonAppender(context)
                        : consoleAppender(context, "System.err", textEncoder(context)));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static AsyncAppender asyncJsonAppender(LoggerContext context) {
        // A slow reader of the log must not block calls: lines that exceed the queue are dropped.
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(LOG_QUEUE_SIZE);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(consoleAppender(context, "System.out", jsonEncoder(context)));
        queue.start();
        return queue;
    }

    private static ConsoleAppender<ILoggingEvent> consoleAppender(
            LoggerContext context, String target, Encoder<ILoggingEvent> encoder) {
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
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
