package org.guavahatch.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import org.guavahatch.coordination.claim.ClaimKeeper
import org.guavahatch.coordination.claim.ClaimKey
import org.guavahatch.coordination.claim.ClaimResult
import org.guavahatch.coordination.claim.RecordedAnswer
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.identity.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Tells the control state what came of claims. */
internal interface ClaimListener {
    fun onClaimed(requestId: RequestId, result: ClaimResult)
}

/** The claims that an entry instance is about to make, give back or record. */
internal class ClaimCoordinator(
    private val keeper: ClaimKeeper,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
    private val listener: ClaimListener,
) {
    private class Pending(val key: ClaimKey) {
        @Volatile
        var job: Job? = null

        @Volatile
        var isSettled = false

        @Volatile
        var isHeldElsewhere = false
    }

    private val pending = ConcurrentHashMap<RequestId, Pending>()
    private val unwritten = AtomicInteger()

    /** Outcomes and releases that were not written yet. */
    val unwrittenChanges: Int get() = unwritten.get()

    fun begin(exchange: Exchange) {
        val requestId = exchange.requestId
        val entry = Pending(keyOf(exchange))
        pending[requestId] = entry
        entry.job = scope.launch {
            val result = keeper.claim(entry.key, requestId.toString()) { entry.isHeldElsewhere = true }
            entry.isSettled = true
            metrics.count(DaemonCounter.CLAIMS, result.javaClass.simpleName.lowercase())
            listener.onClaimed(requestId, result)
        }
    }

    private fun keyOf(exchange: Exchange) = ClaimKey(
        route = exchange.plan.route.name,
        account = exchange.plan.account.name,
        idempotencyKey = exchange.plan.call.idempotencyKey,
    )

    /** Whether the last look showed the claim with another attempt that has no outcome. */
    fun isHeldElsewhere(requestId: RequestId): Boolean = pending[requestId]?.isHeldElsewhere ?: false

    /** Gives the claim of a request back that was not and will not be dispatched. */
    fun release(requestId: RequestId) {
        val entry = pending.remove(requestId) ?: return
        write {
            entry.job?.cancelAndJoin()
            val isReleased = keeper.release(entry.key, requestId.toString(), mayArriveLate = !entry.isSettled)
            metrics.count(DaemonCounter.CLAIMS, if (isReleased) "released" else "release-given-up")
        }
    }

    /** Records the answer of a request with its claim. */
    fun record(requestId: RequestId, answer: RecordedAnswer) {
        val entry = pending.remove(requestId) ?: return
        write {
            val isRecorded = keeper.record(entry.key, requestId.toString(), answer)
            metrics.count(DaemonCounter.CLAIMS, if (isRecorded) "recorded" else "record-given-up")
        }
    }

    /** Stops looking after the claim of a request whose outcome is not known; the claim stays. */
    fun forget(requestId: RequestId) {
        pending.remove(requestId)?.job?.cancel()
    }

    private fun write(change: suspend () -> Unit) {
        unwritten.incrementAndGet()
        scope.launch {
            try {
                change()
            } finally {
                unwritten.decrementAndGet()
            }
        }
    }
}
