package org.guavahatch.scheduling.interleaving

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.protocol.message.AnswerEnd
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.Attach
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Forgotten
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.scheduling.choice.TwoRandomChoicesChooser
import org.guavahatch.scheduling.dispatch.DispatchEffect
import org.guavahatch.scheduling.dispatch.RequestDispatcher
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.guavahatch.scheduling.endpoint.EndpointEffect
import org.guavahatch.scheduling.endpoint.EndpointLimits
import org.guavahatch.scheduling.endpoint.EndpointScheduler
import org.guavahatch.scheduling.endpoint.EndpointSchedulerSettings
import kotlin.random.Random

/** One dispatch of a request to an endpoint. */
internal data class Dispatch(
    val requestId: RequestId,
    val attempt: Int,
    val endpoint: EndpointId,
    val atMilliseconds: Long,
)

/** A connection between one entry instance and one sidecar, with the frames in transit. */
internal class SimulatedConnection(val entry: SimulatedEntry, val sidecar: SimulatedSidecar) {
    val toSidecar = ArrayDeque<Message>()
    val toEntry = ArrayDeque<Message>()
    var isOpen = false

    /** Whether the connection was lost but the sidecar has not noticed it yet. */
    var isHalfOpen = false
}

/** A simulated entry instance that runs the real dispatcher. */
internal class SimulatedEntry(val name: String, val cluster: SimulatedCluster) {
    var runNumber = 0
    var incarnation = Incarnation("$name.0")
    var sequence = 0L
    lateinit var dispatcher: RequestDispatcher
    val reportedOutcomes = HashMap<RequestId, MutableList<Outcome>>()

    fun restart() {
        incarnation = Incarnation("$name.${++runNumber}")
        sequence = 0
        dispatcher = RequestDispatcher(TwoRandomChoicesChooser(), { false }, Random(cluster.random.nextInt()))
    }

    fun perform(effects: List<DispatchEffect>): Unit = effects.forEach(::perform)

    private fun perform(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> cluster.connection(this, effect.endpoint).let {
                if (it.isOpen) it.toSidecar += effect.message
            }
            is DispatchEffect.SendGrant -> sendGrant(effect)
            is DispatchEffect.SendAttach -> cluster.connection(this, effect.endpoint).let {
                if (it.isOpen) it.toSidecar += Attach(effect.requestId, effect.attempt, 0, hasHead = false)
            }
            is DispatchEffect.Conclude -> reportedOutcomes.getOrPut(effect.requestId) { mutableListOf() } +=
                effect.outcome
            is DispatchEffect.Claim -> perform(dispatcher.onClaimWon(effect.requestId, cluster.nowMilliseconds))
            is DispatchEffect.ReleaseClaim -> cluster.releasedClaims += effect.requestId
            is DispatchEffect.RecordAnswer, is DispatchEffect.Forget -> Unit
        }
    }

    private fun sendGrant(effect: DispatchEffect.SendGrant) {
        val connection = cluster.connection(this, effect.endpoint)
        if (!connection.isOpen) return
        val call = EndpointCall("POST", "/", "", "", ByteArray(0))
        connection.toSidecar +=
            Grant(effect.requestId, effect.sidecar, effect.attempt, effect.remainingMilliseconds, call)
    }

    fun receive(endpoint: EndpointId, message: Message) {
        if (message is AnswerEnd) {
            perform(dispatcher.onAnswerComplete(message.requestId, message.attempt))
        } else {
            perform(dispatcher.onMessage(endpoint, message, cluster.nowMilliseconds))
        }
    }

    fun submit(specification: RequestSpecification) {
        cluster.specifications[specification.requestId] = specification
        perform(dispatcher.onSubmit(specification, cluster.nowMilliseconds))
    }
}

/** A simulated sidecar that runs the real scheduler; the calls to its endpoint are recorded in the cluster. */
internal class SimulatedSidecar(val endpoint: EndpointId, val cluster: SimulatedCluster) {
    var runNumber = 0
    var isFrozen = false
    var shutdownAtMilliseconds = Long.MAX_VALUE
    lateinit var scheduler: EndpointScheduler
    private val calls = HashMap<RequestId, Int>()
    private val finalFrames = HashMap<RequestId, Message>()

    fun restart() {
        runNumber++
        calls.clear()
        finalFrames.clear()
        shutdownAtMilliseconds = Long.MAX_VALUE
        scheduler = EndpointScheduler(
            endpoint,
            POOL,
            Incarnation("$endpoint.$runNumber"),
            EndpointLimits(maximumConcurrent = 2, maximumTokens = Long.MAX_VALUE, maximumPrefills = 2),
            EndpointSchedulerSettings(ledgerRetentionMilliseconds = RETENTION_MILLISECONDS),
        )
    }

    fun perform(effects: List<EndpointEffect>): Unit = effects.forEach(::perform)

    private fun perform(effect: EndpointEffect) {
        when (effect) {
            is EndpointEffect.Send -> send(effect.entry, effect.message)
            is EndpointEffect.Broadcast -> cluster.entries.forEach { send(it.incarnation, effect.message) }
            is EndpointEffect.Execute -> execute(effect)
            is EndpointEffect.Stop -> end(effect.requestId, FailureReason.CANCELLED)
            is EndpointEffect.Replay -> replay(effect)
            is EndpointEffect.Release -> finalFrames.remove(effect.requestId)
        }
    }

    private fun send(entry: Incarnation, message: Message) {
        val connection = cluster.connections.find { it.entry.incarnation == entry && it.sidecar === this } ?: return
        if (connection.isOpen) connection.toEntry += message
    }

    private fun execute(effect: EndpointEffect.Execute) {
        val grant = effect.grant
        cluster.dispatches += Dispatch(grant.requestId, grant.attempt, endpoint, cluster.nowMilliseconds)
        check(cluster.nowMilliseconds <= shutdownAtMilliseconds) {
            "$endpoint dispatched ${grant.requestId} after its shutdown had begun"
        }
        calls[grant.requestId] = grant.attempt
    }

    private fun replay(effect: EndpointEffect.Replay) {
        val end = finalFrames[effect.requestId]
        if (end != null) send(effect.requestId.entry, end)
        if (end == null && effect.requestId !in calls) {
            send(effect.requestId.entry, Forgotten(effect.requestId, effect.attempt))
        }
    }

    /** Ends a random running call, one in four of them with a broken answer. */
    fun endRandomCall() {
        val requestId = calls.keys.sorted().randomOrNull(cluster.random) ?: return
        end(requestId, if (cluster.random.nextInt(4) == 0) FailureReason.CUT else null)
    }

    private fun end(requestId: RequestId, failure: FailureReason?) {
        val attempt = calls.remove(requestId) ?: return
        val frame = when (failure) {
            null -> AnswerEnd(requestId, attempt, 0, 0, 0, 0)
            else -> AnswerFailed(requestId, attempt, failure)
        }
        finalFrames[requestId] = frame
        send(requestId.entry, frame)
        perform(scheduler.onExecutionEnded(requestId, wasDispatched = true, cluster.nowMilliseconds))
    }

    fun receive(entry: Incarnation, message: Message) {
        if (message is RequestMessage) perform(scheduler.onMessage(entry, message, cluster.nowMilliseconds))
    }

    internal companion object {
        const val POOL = "pool"
        const val RETENTION_MILLISECONDS = 400L
    }
}

/** Entry instances, sidecars and the connections between them, with simulated time and a seeded random source. */
internal class SimulatedCluster(seed: Int) {
    val random = Random(seed)
    var nowMilliseconds = 0L
    val dispatches = mutableListOf<Dispatch>()
    val specifications = HashMap<RequestId, RequestSpecification>()
    val releasedClaims = HashSet<RequestId>()
    val crashedEntries = HashSet<Incarnation>()
    val entries = List(2) { SimulatedEntry("entry$it", this) }
    val sidecars = List(3) { SimulatedSidecar(EndpointId("endpoint$it"), this) }
    val connections = entries.flatMap { entry -> sidecars.map { SimulatedConnection(entry, it) } }

    init {
        entries.forEach { it.restart() }
        sidecars.forEach { it.restart() }
    }

    fun connection(entry: SimulatedEntry, endpoint: EndpointId): SimulatedConnection =
        connections.first { it.entry === entry && it.sidecar.endpoint == endpoint }
}
