package org.guavahatch.gateway.control

import io.netty.channel.EventLoop
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.quarantine.EndpointProcess
import org.guavahatch.scheduling.quarantine.PromptParts
import org.guavahatch.scheduling.quarantine.PromptQuarantine
import org.guavahatch.scheduling.quarantine.Quarantine
import org.guavahatch.scheduling.quarantine.QuarantineReport
import java.util.concurrent.TimeUnit

/** Keeps quarantines for gateways that start later. */
interface QuarantineStore {
    /** [quarantine] is in force. */
    fun save(quarantine: Quarantine)

    /** [quarantine] is over. */
    fun delete(quarantine: Quarantine)
}

/** Runs the reviews of a [PromptQuarantine], logs its changes and passes them on. */
class QuarantineControl(private val loop: EventLoop, clock: Clock, private val log: DecisionLog) {
    private val quarantine = PromptQuarantine(clock)
    private var isReviewScheduled = false

    /** Receives the changes that this gateway has decided on itself. */
    var store: QuarantineStore? = null

    /** Called when more requests are to be held back. */
    var onHeldBack: () -> Unit = {}

    /** The quarantines in force. */
    val active: Set<Quarantine> get() = quarantine.active

    /** Milliseconds until a request with [prompt] may be sent, or null if it may be sent now. */
    fun holdMilliseconds(prompt: PromptParts): Long? = quarantine.find(prompt)?.let(quarantine::remainingMilliseconds)

    /** A request with [prompt] was answered. */
    fun onAnswered(prompt: PromptParts) = quarantine.recordAnswered(prompt)

    /** [process] ended before it had begun to answer a request with [prompt]. */
    fun onCrash(process: EndpointProcess, prompt: PromptParts) {
        quarantine.recordCrash(process, prompt)
        scheduleReview()
    }

    /** What the peers are to know. */
    fun report(): QuarantineReport = quarantine.report()

    /** A peer has sent [report]. */
    fun onPeerReport(report: QuarantineReport) {
        if (report.isEmpty) return
        quarantine.merge(report).forEach { begin(it, "peer") }
        scheduleReview()
    }

    /** The store holds [stored]. */
    fun onStored(stored: Quarantine) {
        if (quarantine.add(stored)) begin(stored, "store")
        scheduleReview()
    }

    /** An operator or a peer has deleted [deleted] from the store. */
    fun onDeleted(deleted: Quarantine) {
        if (quarantine.release(deleted)) logEnd(deleted, "deleted")
    }

    private fun begin(begun: Quarantine, origin: String) {
        log.write("quarantine.begun") {
            put("parts", begun)
            put("origin", origin)
            put("milliseconds", quarantine.remainingMilliseconds(begun))
        }
        onHeldBack()
    }

    private fun logEnd(ended: Quarantine, reason: String) = log.write("quarantine.ended") {
        put("parts", ended)
        put("reason", reason)
    }

    private fun scheduleReview() {
        if (isReviewScheduled) return
        isReviewScheduled = true
        loop.schedule(::review, REVIEW_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun review() {
        isReviewScheduled = false
        val changes = quarantine.review()
        (changes.refuted + changes.shrunk).forEach { logEnd(it, "answered") }
        changes.ended.forEach { logEnd(it, "time") }
        // The row of a shrunk quarantine stays until it ends: deleting it would release its parts at other gateways.
        (changes.refuted + changes.ended).forEach { store?.delete(it) }
        changes.added.forEach {
            store?.save(it)
            begin(it, "evidence")
        }
        if (quarantine.needsReview) scheduleReview()
    }

    private companion object {
        const val REVIEW_MILLISECONDS = 200L
    }
}
