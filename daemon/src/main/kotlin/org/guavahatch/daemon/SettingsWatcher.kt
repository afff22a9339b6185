package org.guavahatch.daemon

import arrow.core.Either
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.settings.GatewaySettings
import java.nio.file.Path

/**
 * Detects changes of the settings file, periodically and after a signal, and logs them.
 *
 * Addresses and limits are fixed when the process starts. A change is therefore validated and logged, and takes effect
 * at the next start.
 */
internal class SettingsWatcher(
    private val file: Path,
    private var lastRead: GatewaySettings,
    private val read: (Path) -> Either<String, GatewaySettings>,
    private val log: DecisionLog,
) {
    /** Starts to check the file periodically. */
    fun start() {
        Thread(::watchPeriodically, "settings-watcher").apply { isDaemon = true }.start()
    }

    /** Checks the file now. [reason] is logged. */
    @Synchronized
    fun check(reason: String) {
        when (val result = read(file)) {
            is Either.Left -> log.write("settings.unreadable") {
                put("reason", reason)
                put("problem", result.value)
            }
            is Either.Right -> reportChange(reason, result.value)
        }
    }

    private fun reportChange(reason: String, current: GatewaySettings) {
        val isChanged = current != lastRead
        if (!isChanged && reason == PERIOD) return
        lastRead = current
        log.write("settings.reloaded") {
            put("reason", reason)
            put("changed", isChanged)
            put("effect", if (isChanged) "next start" else "none")
        }
    }

    private fun watchPeriodically() {
        while (true) {
            Thread.sleep(PERIOD_MILLISECONDS)
            check(PERIOD)
        }
    }

    private companion object {
        const val PERIOD = "period"

        /** Long, because a change takes effect only at the next start. */
        const val PERIOD_MILLISECONDS = 10_000L
    }
}
