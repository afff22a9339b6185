package org.guavahatch.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.guavahatch.coordination.claim.ClaimSettings
import org.guavahatch.coordination.claim.ClaimStore
import org.guavahatch.coordination.http.HttpInstanceList
import org.guavahatch.coordination.http.HttpObjectStore
import org.guavahatch.coordination.http.HttpTableService
import org.guavahatch.coordination.http.PlatformClient
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.coordination.publication.ConfigurationStore
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.daemon.control.ControlThread
import org.guavahatch.daemon.observation.AdminServer
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.observation.ProcessStatus
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.daemon.transport.KeyRing
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.choice.ExpectedCompletionChooser
import org.guavahatch.scheduling.dispatch.RequestDispatcher
import org.tinylog.kotlin.Logger
import kotlin.random.Random

/** Creates, starts and stops the components of an entry instance. */
internal class EntryProcess(
    private val settings: EntrySettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = DaemonMetrics()
    private val controlThread = ControlThread(clock)
    private val applied = AppliedConfiguration()
    private val platform = PlatformClient(settings.platformUrl, settings.platformTimeoutMilliseconds)
    private val table = HttpTableService(platform)
    private val store = ConfigurationStore(table, HttpObjectStore(platform))
    private val exchanges = Exchanges(incarnation)
    private val dispatcher =
        RequestDispatcher(ExpectedCompletionChooser(), exchanges, Random(incarnation.value.hashCode()))
    private val control =
        EntryControl(settings, incarnation, dispatcher, controlThread, clock, exchanges, applied, metrics)
    private val watcher =
        ConfigurationWatcher(store, applied, metrics, settings.configurationPollMilliseconds) {
            control.onConfiguration(it.set)
        }
    private val claimStore = ClaimStore(table, clock, incarnation.value, ClaimSettings(), scope)
    private val claims = ClaimCoordinator(claimStore, metrics, scope, control)
    private val handshake = Handshake(KeyRing(settings.sharedKeys), settings.silenceMilliseconds)
    private val instances = HttpInstanceList(platform, settings.deployment)
    private val links = SidecarLinks(settings, instances, handshake, clock, metrics, scope, control)
    private val freshness = ConfigurationFreshness(watcher, clock, 2 * settings.heartbeatMilliseconds)
    private val callerServer =
        CallerServer(settings, applied, exchanges, RequestSpecificationBuilder(), control, freshness, clock, metrics)
    private val adminServer = AdminServer(settings.host, settings.adminPort, metrics, ::isReady, ::status)

    @Volatile
    private var isStopping = false

    suspend fun start() {
        control.links = links
        control.claims = claims
        control.watcher = watcher
        control.start()
        controlThread.runPeriodically(DRAIN_CHECK_PERIOD_MILLISECONDS) {
            applied.active?.let { control.onConfiguration(it.set) }
        }
        watcher.start(scope)
        links.start()
        freshness.start(scope)
        callerServer.start()
        adminServer.start()
        Logger.info("event=started role=entry name={} incarnation={}", settings.name, incarnation)
    }

    private fun isReady() = !isStopping && applied.active != null && links.all.any { it.isConnected }

    private suspend fun status() = ProcessStatus(
        name = settings.name,
        role = "entry",
        incarnation = incarnation.value,
        isReady = isReady(),
        configuration = applied.version.number,
        contentHash = applied.version.contentHash,
        requests = controlThread.call { dispatcher.trackedRequests },
        peers = links.all.filter { it.isConnected }.map { it.instance.name }.sorted(),
    )

    /**
     * Stops gracefully: fails the readiness check, still accepts requests for [EntrySettings.readinessMilliseconds],
     * and then waits at most [EntrySettings.stopMilliseconds] for open requests and pending claim writes.
     */
    suspend fun stop() {
        isStopping = true
        callerServer.isClosing = true
        Logger.info("event=leaving role=entry name={}", settings.name)
        delay(settings.readinessMilliseconds)
        val stopDeadline = clock.monotonicMilliseconds() + settings.stopMilliseconds
        while (isBusy() && clock.monotonicMilliseconds() < stopDeadline) delay(BUSY_POLL_MILLISECONDS)
        Logger.info("event=stopped role=entry name={} unfinished={}", settings.name, callerServer.openCalls)
        callerServer.stop()
        adminServer.stop()
        scope.cancel()
        platform.close()
        controlThread.close()
    }

    private suspend fun isBusy() =
        callerServer.openCalls > 0 || control.unansweredRequests() > 0 || claims.pendingWrites > 0

    private companion object {
        const val DRAIN_CHECK_PERIOD_MILLISECONDS = 500L
        const val BUSY_POLL_MILLISECONDS = 20L
    }
}
