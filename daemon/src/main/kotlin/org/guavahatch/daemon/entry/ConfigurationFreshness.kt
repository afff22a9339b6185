package org.guavahatch.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.model.time.Clock

/**
 * Delays requests from callers after this process was suspended, until it could receive a configuration that was
 * accepted in the meantime: from the head in the store or, while the store is unreachable, from sidecars.
 *
 * @property peerWaitMilliseconds time to wait for a configuration that sidecars send after their heartbeats
 */
internal class ConfigurationFreshness(
    private val watcher: ConfigurationWatcher,
    private val clock: Clock,
    private val peerWaitMilliseconds: Long,
) {
    private val isFresh = MutableStateFlow(true)

    @Volatile
    private var lastCheckMilliseconds = clock.monotonicMilliseconds()

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(CHECK_PERIOD_MILLISECONDS)
                if (wasSuspended()) refresh()
                lastCheckMilliseconds = clock.monotonicMilliseconds()
            }
        }
    }

    /** Suspends until the configuration in force may be used. */
    suspend fun awaitFresh() {
        if (wasSuspended()) isFresh.value = false
        isFresh.first { it }
    }

    private fun wasSuspended() =
        clock.monotonicMilliseconds() - lastCheckMilliseconds > SUSPENSION_THRESHOLD_MILLISECONDS

    private suspend fun refresh() {
        isFresh.value = false
        if (!watcher.poll()) delay(peerWaitMilliseconds)
        lastCheckMilliseconds = clock.monotonicMilliseconds()
        isFresh.value = true
    }

    private companion object {
        const val CHECK_PERIOD_MILLISECONDS = 100L

        /** A longer time between two checks means that the process was suspended. */
        const val SUSPENSION_THRESHOLD_MILLISECONDS = 1500L
    }
}
