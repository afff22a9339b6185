package org.guavahatch.daemon.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.guavahatch.coordination.http.HttpObjectStore
import org.guavahatch.coordination.http.HttpTableService
import org.guavahatch.coordination.http.PlatformClient
import org.guavahatch.coordination.lease.FencedLease
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.coordination.publication.ConfigurationStore
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.daemon.control.ControlThread
import org.guavahatch.daemon.observation.AdminServer
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.observation.ProcessStatus
import org.guavahatch.daemon.settings.SidecarSettings
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.daemon.transport.KeyRing
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.endpoint.EndpointLimits
import org.guavahatch.scheduling.endpoint.EndpointScheduler
import org.tinylog.kotlin.Logger

/** Creates, starts and stops the components of a sidecar. */
internal class SidecarProcess(
    private val settings: SidecarSettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = DaemonMetrics()
    private val controlThread = ControlThread(clock)
    private val connections = EntryConnections()
    private val applied = AppliedConfiguration()
    private val platform = PlatformClient(settings.platformUrl, settings.platformTimeoutMilliseconds)
    private val table = HttpTableService(platform)
    private val store = ConfigurationStore(table, HttpObjectStore(platform))
    private val scheduler =
        EndpointScheduler(EndpointId(settings.name), settings.pool, incarnation, INITIAL_LIMITS)
    private val control = SidecarControl(scheduler, controlThread, clock, connections, metrics)
    private val endpointCaller = EndpointCaller(settings.endpointUrl, settings.echoesRequestId)
    private val executions = Executions(endpointCaller, clock, settings.answerWindowBytes, metrics, scope, control)
    private val watcher =
        ConfigurationWatcher(store, applied, metrics, settings.configurationPollMilliseconds) {
            control.onConfiguration(it.set)
        }
    private val lease = FencedLease(table, clock, settings.name, incarnation.value)
    private val engineOrders = EngineOrders(settings.endpointUrl, lease, metrics) {
        applied.active?.set?.endpointPools?.find { it.name == settings.pool }
    }
    private val adminServer = AdminServer(settings.host, settings.adminPort, metrics, ::isReady, ::status)

    @Volatile
    private var isStopping = false

    suspend fun start() {
        control.executions = executions
        control.start()
        controlThread.runPeriodically(DRAIN_CHECK_PERIOD_MILLISECONDS) {
            applied.active?.let { control.onConfiguration(it.set) }
        }
        watcher.start(scope)
        engineOrders.start(scope)
        createListener().start()
        adminServer.start()
        Logger.info("event=started role=sidecar name={} incarnation={}", settings.name, incarnation)
    }

    private fun createListener() = EntryListener(
        settings = settings,
        incarnation = incarnation,
        clock = clock,
        connections = connections,
        control = control,
        executions = executions,
        watcher = watcher,
        appliedVersion = { applied.version },
        handshake = Handshake(KeyRing(settings.sharedKeys), settings.silenceMilliseconds),
        metrics = metrics,
        scope = scope,
    )

    private fun isReady() = !isStopping && applied.active != null

    private suspend fun status() = ProcessStatus(
        name = settings.name,
        role = "sidecar",
        incarnation = incarnation.value,
        isReady = isReady(),
        configuration = applied.version.number,
        contentHash = applied.version.contentHash,
        requests = controlThread.call { scheduler.runningRequests + scheduler.queuedOffers },
        peers = connections.all.map { it.name }.sorted(),
    )

    /**
     * Stops gracefully: refuses new work and waits at most [SidecarSettings.stopMilliseconds] until the granted
     * requests have ended and the entry instances have received their answers.
     */
    suspend fun stop() {
        isStopping = true
        control.leave()
        val stopDeadline = clock.monotonicMilliseconds() + settings.stopMilliseconds
        while (control.unfinishedRequests() > 0 && clock.monotonicMilliseconds() < stopDeadline) {
            delay(UNFINISHED_POLL_MILLISECONDS)
        }
        delay(FLUSH_MILLISECONDS)
        Logger.info("event=stopped role=sidecar name={} unfinished={}", settings.name, control.unfinishedRequests())
        adminServer.stop()
        scope.cancel()
        endpointCaller.close()
        engineOrders.close()
        platform.close()
        controlThread.close()
    }

    private companion object {
        const val DRAIN_CHECK_PERIOD_MILLISECONDS = 500L
        const val UNFINISHED_POLL_MILLISECONDS = 20L

        /** Time for the connections to write the messages that are queued. */
        const val FLUSH_MILLISECONDS = 50L

        /** Limits until the first configuration is applied. */
        val INITIAL_LIMITS = EndpointLimits(1, 1, 1)
    }
}
