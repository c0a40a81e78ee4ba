package org.heatherhaven.cli.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.heatherhaven.node.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads settings again when their file has changed, or when it is told to. */
final class SettingsWatch {

    private static final Logger LOGGER = LoggerFactory.getLogger(SettingsWatch.class);
    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private final Path file;
    private final Runnable reload;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "settings");
        thread.setDaemon(true);
        return thread;
    });
    private Optional<FileTime> seen;

    SettingsWatch(Path file, Runnable reload) {
        this.file = file;
        this.reload = reload;
        this.seen = changedAt();
    }

    void start() {
        timer.scheduleWithFixedDelay(this::look, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads the settings in any case; called by a signal. */
    void readAgain() {
        timer.execute(this::read);
    }

    private void look() {
        Optional<FileTime> now = changedAt();
        if (!now.equals(seen)) {
            seen = now;
            read();
        }
    }

    private void read() {
        try {
            reload.run();
            LOGGER.info("Settings were read again");
        } catch (SettingsException e) {
            LOGGER.warn("Settings can't be used, the old ones hold: {}", e.getMessage());
        }
    }

    private Optional<FileTime> changedAt() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (IOException e) {
            LOGGER.warn("Settings can't be looked at: {}", e.toString());
            return Optional.empty();
        }
    }
}
