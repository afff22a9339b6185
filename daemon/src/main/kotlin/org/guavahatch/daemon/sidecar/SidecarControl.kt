package org.guavahatch.daemon.sidecar

import org.guavahatch.daemon.control.ControlThread
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.Forgotten
import org.guavahatch.protocol.message.Leaving
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.EndpointLimits
import org.guavahatch.scheduling.endpoint.EndpointScheduler
import org.tinylog.kotlin.Logger

/** Runs an [EndpointScheduler] on the control thread and executes its effects. */
internal class SidecarControl(
    private val scheduler: EndpointScheduler,
    private val control: ControlThread,
    private val clock: Clock,
    private val connections: EntryConnections,
    private val metrics: DaemonMetrics,
) : ExecutionListener {
    /** Set once, before the first message. Not a constructor parameter because [Executions] reports to this object. */
    lateinit var executions: Executions

    @Volatile
    private var latestDigest: Digest = scheduler.digest()

    /** Whether the endpoint is much slower than usual. */
    @Volatile
    var isStraggling = false
        private set

    /** State of the endpoint after the last event that the scheduler handled. */
    val digest: Digest get() = latestDigest

    fun start() {
        control.runPeriodically(TICK_MILLISECONDS) { perform(scheduler.onTick(now())) }
    }

    /** Called when [entry] has connected. Closes the connection [replaced] if the new one replaces it. */
    fun onConnected(entry: Incarnation, replaced: PeerConnection?) {
        if (replaced == null) return
        replaced.close()
        control.post { perform(scheduler.onEntryLost(entry, now())) }
    }

    /** Called when the current connection of [entry] was lost. */
    fun onDisconnected(entry: Incarnation) {
        control.post {
            if (connections[entry] == null) perform(scheduler.onEntryLost(entry, now()))
        }
    }

    /** Called when a message of [entry] arrives on [connection]. A message on a replaced connection is dropped. */
    fun onMessage(entry: Incarnation, connection: PeerConnection, message: RequestMessage) {
        control.post {
            if (connections.isCurrent(entry, connection)) {
                perform(scheduler.onMessage(entry, message, now()))
            } else {
                metrics.count(DaemonCounter.FRAMES_DROPPED, "old-connection")
            }
        }
    }

    /** Applies the limits and drains of a configuration. */
    fun onConfiguration(set: ConfigurationSet) {
        control.post {
            val pool = set.endpointPools.find { it.name == scheduler.pool }
            if (pool != null) perform(scheduler.onLimits(EndpointLimits.of(pool), now()))
            val isDrained = set.drains.any { drain ->
                drain.pool == scheduler.pool &&
                    drain.endpoint == scheduler.endpoint.value &&
                    drain.isInForce(clock.wallMilliseconds())
            }
            perform(scheduler.onDrain(isDrained, now()))
        }
    }

    /** Refuses new work from now on and notifies all entry instances. */
    suspend fun leave() {
        control.call {
            perform(scheduler.onShutdown())
            connections.all.forEach { it.connection.send(Leaving) }
        }
        Logger.info("event=leaving endpoint={}", scheduler.endpoint)
    }

    /**
     * Returns the larger of two numbers: requests that are reserved or running, and calls whose answers are not
     * acknowledged.
     */
    suspend fun unfinishedRequests(): Int = control.call { maxOf(scheduler.runningRequests, executions.count) }

    override fun onProgress(requestId: RequestId, tokens: Int) {
        control.post { perform(scheduler.onProgress(requestId, tokens, now())) }
    }

    override fun onEnded(requestId: RequestId, wasDispatched: Boolean) {
        control.post { perform(scheduler.onExecutionEnded(requestId, wasDispatched, now())) }
    }

    private fun perform(effects: List<EndpointEffect>) {
        effects.forEach(::perform)
        latestDigest = scheduler.digest()
        isStraggling = scheduler.isStraggling
    }

    private fun perform(effect: EndpointEffect) {
        when (effect) {
            is EndpointEffect.Send -> connections[effect.entry]?.send(effect.message)
            is EndpointEffect.Broadcast -> connections.all.forEach { it.connection.send(effect.message) }
            is EndpointEffect.Execute -> executions.start(effect, connections[effect.entry])
            is EndpointEffect.Stop -> executions.stop(effect.requestId, effect.reason)
            is EndpointEffect.Replay -> replay(effect)
            is EndpointEffect.Release -> executions.release(effect.requestId)
        }
    }

    private fun replay(effect: EndpointEffect.Replay) {
        val connection = connections[effect.requestId.entry] ?: return
        if (!executions.replay(effect, connection)) connection.send(Forgotten(effect.requestId, effect.attempt))
    }

    private fun now() = clock.monotonicMilliseconds()

    private companion object {
        const val TICK_MILLISECONDS = 20L
    }
}
