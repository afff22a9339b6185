package org.guavahatch.daemon

import arrow.core.Either
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.settings.GatewaySettings
import java.nio.file.Path

/**
 * Notices changes of the settings file, with a signal or without one, and tells what becomes of them.
 *
 * Addresses and bounds are used from the start of the process on, so a change is checked and told, and takes effect at
 * the next start.
 */
internal class SettingsWatcher(
    private val file: Path,
    private var known: GatewaySettings,
    private val read: (Path) -> Either<String, GatewaySettings>,
    private val log: DecisionLog,
) {
    /** Begins to look at the file from time to time. */
    fun start() {
        Thread(::watch, "settings-watcher").apply { isDaemon = true }.start()
    }

    /** Looks at the file now, because of [reason]. */
    @Synchronized
    fun check(reason: String) {
        when (val present = read(file)) {
            is Either.Left -> log.write("settings.unreadable") {
                put("reason", reason)
                put("problem", present.value)
            }
            is Either.Right -> tell(reason, present.value)
        }
    }

    private fun tell(reason: String, present: GatewaySettings) {
        val isChanged = present != known
        if (!isChanged && reason == PERIOD) return
        known = present
        log.write("settings.reloaded") {
            put("reason", reason)
            put("changed", isChanged)
            put("effect", if (isChanged) "next start" else "none")
        }
    }

    private fun watch() {
        while (true) {
            Thread.sleep(PERIOD_MILLISECONDS)
            check(PERIOD)
        }
    }

    private companion object {
        const val PERIOD = "period"

        /** A change takes effect at a start, so it need not be seen at once. */
        const val PERIOD_MILLISECONDS = 10_000L
    }
}
