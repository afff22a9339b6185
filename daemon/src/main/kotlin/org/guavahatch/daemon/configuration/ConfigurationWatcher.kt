package org.guavahatch.daemon.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.coordination.publication.ActiveConfiguration
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.coordination.publication.ConfigurationStore
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.protocol.message.ConfigurationContent
import org.tinylog.kotlin.Logger
import kotlin.random.Random

/**
 * Keeps a process's configuration at the highest accepted version: polls the head in the store and applies newer
 * configurations that peers send.
 *
 * @property onApplied called after each change, on any thread
 */
internal class ConfigurationWatcher(
    private val store: ConfigurationStore,
    private val applied: AppliedConfiguration,
    private val metrics: DaemonMetrics,
    private val pollMilliseconds: Long,
    private val onApplied: (ActiveConfiguration) -> Unit,
) {
    /**
     * Polls until [scope] is cancelled. The interval varies randomly by up to a tenth, so that processes that started
     * together do not poll together.
     */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                poll()
                delay(
                    pollMilliseconds +
                        Random.nextLong(-pollMilliseconds / JITTER_DIVISOR, pollMilliseconds / JITTER_DIVISOR),
                )
            }
        }
    }

    /** Reads the head once and applies a newer version. Returns false if the platform could not be reached. */
    suspend fun poll(): Boolean = store.head().fold(
        { error ->
            countError(error)
            false
        },
        { head ->
            val version = head?.publication?.version
            if (version != null && version > applied.version) fetch(version)
            true
        },
    )

    private suspend fun fetch(version: ConfigurationVersion) {
        store.text(version).fold(
            { countError(it) },
            { text -> if (text != null) applyContent(version, text, "store") },
        )
    }

    private fun countError(error: PlatformError) = metrics.count(DaemonCounter.PLATFORM_ERRORS, error.step)

    /** Applies the configuration that a peer has sent, if it is newer. */
    fun onPeerContent(content: ConfigurationContent) = applyContent(content.version, content.text, "peer")

    /** Returns this process's configuration if it is newer than the [version] of a peer, otherwise null. */
    fun contentFor(version: ConfigurationVersion): ConfigurationContent? =
        applied.active?.takeIf { it.version > version }?.let { ConfigurationContent(it.version, it.text) }

    private fun applyContent(version: ConfigurationVersion, text: String, source: String) {
        applied.apply(version, text).fold(
            { error -> Logger.error("event=configuration-rejected version={} error={}", version, error) },
            { isChanged -> if (isChanged) onChanged(version, source) },
        )
    }

    private fun onChanged(version: ConfigurationVersion, source: String) {
        metrics.count(DaemonCounter.CONFIGURATIONS, source)
        Logger.info("event=configuration-applied version={} source={}", version, source)
        applied.active?.let(onApplied)
    }

    private companion object {
        const val JITTER_DIVISOR = 10
    }
}
