package org.guavahatch.daemon.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.coordination.publication.ConfigurationStore
import org.guavahatch.coordination.publication.InForce
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.protocol.message.ConfigurationContent
import org.tinylog.kotlin.Logger
import kotlin.random.Random

/**
 * Keeps a process's configuration at the highest accepted version: it looks at the head at intervals, and takes what
 * peers have.
 *
 * @property onApplied called after each change, on any thread
 */
internal class ConfigurationWatcher(
    private val store: ConfigurationStore,
    private val applied: AppliedConfiguration,
    private val metrics: DaemonMetrics,
    private val pollMilliseconds: Long,
    private val onApplied: (InForce) -> Unit,
) {
    /**
     * Polls until [scope] ends. The pauses vary by a tenth, so that processes started together do not poll together.
     */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                poll()
                delay(
                    pollMilliseconds +
                        Random.nextLong(-pollMilliseconds / JITTER_PARTS, pollMilliseconds / JITTER_PARTS),
                )
            }
        }
    }

    /** Looks at the head once; false if the platform could not be reached. */
    suspend fun poll(): Boolean = store.head().fold(
        { error ->
            failed(error)
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
            { failed(it) },
            { text -> if (text != null) take(version, text, "store") },
        )
    }

    private fun failed(error: PlatformError) = metrics.count(DaemonCounter.PLATFORM_ERRORS, error.step)

    /** Takes the configuration that a peer has sent. */
    fun onPeerContent(content: ConfigurationContent) = take(content.version, content.text, "peer")

    /** What to send to a peer that has [version] in force: this process's configuration if it is higher. */
    fun contentFor(version: ConfigurationVersion): ConfigurationContent? =
        applied.inForce?.takeIf { it.version > version }?.let { ConfigurationContent(it.version, it.text) }

    private fun take(version: ConfigurationVersion, text: String, source: String) {
        applied.apply(version, text).fold(
            { error -> Logger.error("event=configuration-rejected version={} error={}", version, error) },
            { isChanged -> if (isChanged) announce(version, source) },
        )
    }

    private fun announce(version: ConfigurationVersion, source: String) {
        metrics.count(DaemonCounter.CONFIGURATIONS, source)
        Logger.info("event=configuration-applied version={} source={}", version, source)
        applied.inForce?.let(onApplied)
    }

    private companion object {
        const val JITTER_PARTS = 10
    }
}
