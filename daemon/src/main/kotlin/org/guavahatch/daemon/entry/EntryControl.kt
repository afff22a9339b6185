package org.guavahatch.daemon.entry

import org.guavahatch.coordination.claim.ClaimResult
import org.guavahatch.coordination.publication.AppliedConfiguration
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.daemon.control.ControlThread
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.transport.ConnectionError
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.model.outcome.NotRunReason
import org.guavahatch.model.outcome.Outcome
import org.guavahatch.model.outcome.UnknownReason
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.AnswerMessage
import org.guavahatch.protocol.message.ConfigurationContent
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Heartbeat
import org.guavahatch.protocol.message.Hello
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.PROTOCOL_VERSION
import org.guavahatch.protocol.message.ProcessRole
import org.guavahatch.scheduling.dispatch.DispatchEffect
import org.guavahatch.scheduling.dispatch.RequestDispatcher
import org.guavahatch.scheduling.dispatch.RequestSpecification
import org.tinylog.kotlin.Logger

/** Runs a [RequestDispatcher] on the control thread and executes its effects. */
internal class EntryControl(
    private val settings: EntrySettings,
    private val incarnation: Incarnation,
    private val dispatcher: RequestDispatcher,
    private val control: ControlThread,
    private val clock: Clock,
    private val exchanges: Exchanges,
    private val applied: AppliedConfiguration,
    private val metrics: DaemonMetrics,
) : SidecarLinkListener,
    ClaimListener {
    /** Set once, before the first request. */
    lateinit var links: SidecarLinks

    /** Set once, before the first request. */
    lateinit var claims: ClaimCoordinator

    /** Set once, before the first request. */
    lateinit var watcher: ConfigurationWatcher

    fun start() {
        control.runPeriodically(TICK_MILLISECONDS) { perform(dispatcher.onTick(now())) }
    }

    fun submit(specification: RequestSpecification) = post { dispatcher.onSubmit(specification, now()) }

    fun onCallerGone(requestId: RequestId) = post { dispatcher.onCallerGone(requestId) }

    /** Applies the drains of a new configuration. */
    fun onConfiguration(set: ConfigurationSet) = post {
        val wall = clock.wallMilliseconds()
        val drained = set.drains.filter { it.isInForce(wall) }.map { EndpointId(it.endpoint) }.toSet()
        dispatcher.onDrains(drained, now())
    }

    /** Returns the number of requests whose callers are still waiting. */
    suspend fun unansweredRequests(): Int = control.call { dispatcher.unansweredRequests }

    override fun hello(challenge: String) = Hello(
        protocolVersion = PROTOCOL_VERSION,
        role = ProcessRole.ENTRY,
        name = settings.name,
        incarnation = incarnation,
        zone = settings.zone,
        configuration = applied.version,
        challenge = challenge,
    )

    override fun heartbeat() = Heartbeat(applied.version)

    override fun onConnected(link: SidecarLink, hello: Hello) {
        metrics.count(DaemonCounter.CONNECTIONS, "sidecar")
        Logger.info("event=sidecar-connected endpoint={} incarnation={}", hello.name, hello.incarnation)
        val isLocal = hello.zone == settings.zone
        post {
            dispatcher.onEndpointConnected(
                EndpointId(hello.name),
                link.instance.pool,
                hello.incarnation,
                isLocal,
                now(),
            )
        }
    }

    override fun onDisconnected(link: SidecarLink, error: ConnectionError) {
        metrics.count(DaemonCounter.CONNECTIONS_ENDED, error.javaClass.simpleName.lowercase())
        Logger.info("event=sidecar-disconnected endpoint={} detail={}", link.instance.name, error.detail)
        post { dispatcher.onEndpointDisconnected(EndpointId(link.instance.name), now()) }
    }

    override fun onMessage(link: SidecarLink, message: Message) {
        val endpoint = EndpointId(link.instance.name)
        when (message) {
            is Heartbeat -> watcher.contentFor(message.configuration)?.let(link::send)
            is ConfigurationContent -> watcher.onPeerContent(message)
            is AnswerFailed -> post { dispatcher.onMessage(endpoint, message, now()) }
            is AnswerMessage -> onAnswer(endpoint, message)
            else -> post { dispatcher.onMessage(endpoint, message, now()) }
        }
    }

    /** Handles a frame of an answer. Only the end of an answer is passed on to the control thread. */
    private fun onAnswer(endpoint: EndpointId, message: AnswerMessage) {
        val requestId = message.requestId
        when (exchanges[requestId]?.accept(endpoint, message)) {
            null -> metrics.count(DaemonCounter.FRAMES_DROPPED, "unknown-request")
            FrameResult.ACCEPTED -> Unit
            FrameResult.DROPPED -> metrics.count(DaemonCounter.FRAMES_DROPPED, "repeated")
            FrameResult.COMPLETE -> post { dispatcher.onAnswerComplete(requestId, message.attempt) }
            FrameResult.INVALID -> post { dispatcher.onAnswerInconsistent(requestId, message.attempt, now()) }
        }
    }

    override fun onClaimed(requestId: RequestId, result: ClaimResult) = post {
        when (result) {
            ClaimResult.Won -> dispatcher.onClaimWon(requestId, now())
            is ClaimResult.Answered -> {
                exchanges[requestId]?.replay(result.answer)
                dispatcher.onClaimLost(requestId, Outcome.Answered)
            }
            ClaimResult.HeldElsewhere ->
                dispatcher.onClaimLost(requestId, Outcome.Unknown(UnknownReason.CLAIMED_ELSEWHERE))
        }
    }

    private fun post(event: () -> List<DispatchEffect>) {
        control.post { perform(event()) }
    }

    private fun perform(effects: List<DispatchEffect>) = effects.forEach(::perform)

    private fun perform(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> links[effect.endpoint]?.send(effect.message)
            is DispatchEffect.SendGrant -> sendGrant(effect)
            is DispatchEffect.SendAttach -> sendAttach(effect)
            is DispatchEffect.Conclude -> conclude(effect)
            is DispatchEffect.Claim -> exchanges[effect.requestId]?.let(claims::acquire)
            is DispatchEffect.ReleaseClaim -> claims.release(effect.requestId)
            is DispatchEffect.RecordAnswer ->
                exchanges[effect.requestId]?.let { claims.record(effect.requestId, it.toRecordedAnswer()) }
            is DispatchEffect.Forget -> forget(effect.requestId)
        }
    }

    private fun sendGrant(effect: DispatchEffect.SendGrant) {
        val exchange = exchanges[effect.requestId] ?: return
        val link = links[effect.endpoint] ?: return
        val resumeAfter = exchange.beginAttempt(effect.attempt, effect.endpoint, link::send)
        val call = exchange.request.call
        val body = if (resumeAfter > 0) ChatEnvelope.withResumePoint(call.body, resumeAfter) else call.body
        val endpointCall = EndpointCall(call.method, call.path, call.contentType, call.idempotencyKey, body)
        link.send(
            Grant(effect.requestId, effect.sidecar, effect.attempt, effect.remainingMilliseconds, endpointCall),
        )
        metrics.count(DaemonCounter.GRANTS, if (effect.attempt == 1) "first" else "repeated")
    }

    private fun sendAttach(effect: DispatchEffect.SendAttach) {
        val exchange = exchanges[effect.requestId] ?: return
        val link = links[effect.endpoint] ?: return
        link.send(exchange.reattach(link::send))
    }

    private fun conclude(effect: DispatchEffect.Conclude) {
        val exchange = exchanges[effect.requestId] ?: return
        exchange.conclude(reportedOutcome(effect))
    }

    /**
     * Returns the outcome to report to the caller. While another attempt holds the claim, "not run" would be true
     * only of this attempt. The caller asks about the work itself, so the outcome is unknown.
     */
    private fun reportedOutcome(effect: DispatchEffect.Conclude): Outcome {
        val outcome = effect.outcome
        val isHeldElsewhere = outcome is Outcome.NotRun &&
            outcome.reason == NotRunReason.CLAIM_UNAVAILABLE &&
            claims.isHeldElsewhere(effect.requestId)
        return if (isHeldElsewhere) Outcome.Unknown(UnknownReason.CLAIMED_ELSEWHERE) else outcome
    }

    private fun forget(requestId: RequestId) {
        claims.forget(requestId)
        exchanges.close(requestId)
    }

    private fun now() = clock.monotonicMilliseconds()

    private companion object {
        const val TICK_MILLISECONDS = 10L
    }
}
