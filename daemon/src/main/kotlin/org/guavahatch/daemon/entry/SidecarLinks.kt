package org.guavahatch.daemon.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.coordination.store.Instance
import org.guavahatch.coordination.store.InstanceList
import org.guavahatch.coordination.store.InstanceState
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import java.util.concurrent.ConcurrentHashMap

/**
 * The connections to all sidecars in the platform's instance list. If the list cannot be read, the last one remains in
 * use. An instance that is no longer listed is kept while it is connected, because the list lags behind and the open
 * connection is newer evidence.
 */
internal class SidecarLinks(
    private val settings: EntrySettings,
    private val list: InstanceList,
    private val handshake: Handshake,
    private val clock: Clock,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val listener: SidecarLinkListener,
) {
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = ConcurrentHashMap<EndpointId, SidecarLink>()

    /** Whether the instance list was read at least once. */
    @Volatile
    var isListed = false
        private set

    val all: Collection<SidecarLink> get() = links.values

    operator fun get(endpoint: EndpointId): SidecarLink? = links[endpoint]

    fun start() {
        scope.launch {
            while (true) {
                list.instances().fold(::countError) { update(it) }
                delay(settings.instancePollMilliseconds)
            }
        }
    }

    private fun countError(error: PlatformError) {
        metrics.count(DaemonCounter.PLATFORM_ERRORS, error.step)
    }

    private suspend fun update(instances: List<Instance>) {
        isListed = true
        val live = instances.filter { it.state == InstanceState.LIVE }.associateBy { EndpointId(it.name) }
        links.forEach { (endpoint, link) -> if (isObsolete(link, live[endpoint])) remove(endpoint, link) }
        live.forEach { (endpoint, instance) -> links.computeIfAbsent(endpoint) { startLink(instance) } }
    }

    private fun isObsolete(link: SidecarLink, listed: Instance?): Boolean =
        !link.isConnected && (listed == null || listed != link.instance)

    private suspend fun remove(endpoint: EndpointId, link: SidecarLink) {
        links.remove(endpoint, link)
        link.stop()
    }

    private fun startLink(instance: Instance): SidecarLink =
        SidecarLink(instance, settings, handshake, selector, clock, listener, scope).also { it.start() }
}
