package org.guavahatch.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.model.time.Clock

/**
 * Holds callers' requests back after this process was frozen, until it had the chance to learn of a configuration
 * that was accepted meanwhile: from the head or, while the store is down, from the heartbeats of sidecars.
 *
 * @property peerMilliseconds time in which sidecars' heartbeats arrive
 */
internal class ConfigurationFreshness(
    private val watcher: ConfigurationWatcher,
    private val clock: Clock,
    private val peerMilliseconds: Long,
) {
    private val isFresh = MutableStateFlow(true)

    @Volatile
    private var lastSeenMilliseconds = clock.monotonicMilliseconds()

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(PERIOD_MILLISECONDS)
                if (wasFrozen()) refresh()
                lastSeenMilliseconds = clock.monotonicMilliseconds()
            }
        }
    }

    /** Returns when the configuration in force may be used. */
    suspend fun awaitFresh() {
        if (wasFrozen()) isFresh.value = false
        isFresh.first { it }
    }

    private fun wasFrozen() = clock.monotonicMilliseconds() - lastSeenMilliseconds > FROZEN_MILLISECONDS

    private suspend fun refresh() {
        isFresh.value = false
        if (!watcher.poll()) delay(peerMilliseconds)
        lastSeenMilliseconds = clock.monotonicMilliseconds()
        isFresh.value = true
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 100L
        const val FROZEN_MILLISECONDS = 1500L
    }
}
