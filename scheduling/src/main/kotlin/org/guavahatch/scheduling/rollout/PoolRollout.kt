package org.guavahatch.scheduling.rollout

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.time.Clock
import kotlin.random.Random

/**
 * The decisions of one gateway about one rollout. Not thread-safe; all calls come from the event loop.
 *
 * Until [onRecord] or [mergePeer] has told the phase of this order, and again after a clock gap, no request goes to the
 * target version. The gateway that creates the record calls [onRecord] with it.
 *
 * @param order the order to carry out
 * @property limits limits on the exposure of the target version
 * @property clock source of monotonic time
 * @property random source of random rounding
 * @property isRecentlyStarted whether the gateway may have run before with the same order; it then gets no slack
 */
@Suppress("UnusedPrivateProperty", "UNUSED_PARAMETER")
public class PoolRollout(
    order: RolloutOrder,
    private val limits: RolloutLimits,
    private val clock: Clock,
    private val random: Random,
    private val isRecentlyStarted: Boolean,
) {
    /** The order that is carried out; replaced only by [continueWith]. */
    public var order: RolloutOrder = order
        private set

    /** Current phase at this gateway. */
    public var phase: RolloutPhase = RolloutPhase.RUNNING
        private set

    /** Why the rollout is in its [phase]; empty while it runs. */
    public var reason: String = ""
        private set

    /** Whether the phase is an end that the record in the store confirms, so that it need not be read again. */
    public var isEndStored: Boolean = false
        private set

    /**
     * Replaces the order by a [newer] one to the same version, with the same counters. Returns false if this is
     * impossible, as the rollout has ended or the version differs; the caller then creates another [PoolRollout].
     */
    public fun continueWith(newer: RolloutOrder): Boolean = false

    /** Replaces the list of the pool's endpoints. Other pools' endpoints are ignored. */
    public fun updateEndpoints(listed: Collection<ListedEndpoint>) {
    }

    /** Sets the number of gateways, including this one, that share the slack. */
    public fun updateGateways(registered: Int) {
    }

    /** Adopts [record], read or written [elapsedMilliseconds] after the start of the rollout by the store's clock. */
    public fun onRecord(record: RolloutRecord, elapsedMilliseconds: Long) {
    }

    /** Notes that the process did not run for some time, so that what it knows may be out of date. */
    public fun onClockGap() {
    }

    /** Merges [report] of the lifetime [incarnation] of [gateway]. Late and repeated reports have no effect. */
    public fun mergePeer(gateway: String, incarnation: String, report: RolloutReport) {
    }

    /** Whether [endpoint] has the target version. */
    public fun isTarget(endpoint: ListedEndpoint): Boolean = endpoint.version == order.targetVersion

    /**
     * Whether the next request of [route] should go to the target version if an endpoint of it can take the request:
     * the caller first chooses among the candidates for which [isTarget] and [mayUse] hold, and among the others for
     * which [mayUse] holds if these cannot take it. Without side effects.
     */
    public fun isTargetDue(route: String): Boolean = false

    /** Whether the next request of [route] may be sent to [endpoint]. Without side effects. */
    public fun mayUse(route: String, endpoint: ListedEndpoint): Boolean = true

    /** Records a send to the pool: a first send, a retry, or a resumed stream. */
    public fun recordSend(route: String, endpoint: ListedEndpoint) {
    }

    /** Records how a send ended. */
    public fun recordAnswer(answer: RolloutAnswer) {
    }

    /** Returns the report for peers; [openOnPrevious] is the number of own requests open on the old side. */
    public fun report(openOnPrevious: Int): RolloutReport =
        RolloutReport(order.pool, order.targetVersion, order.revision, phase, reason, openOnPrevious, emptyMap())

    /**
     * Evaluates the evidence and the time limit; to be called about every 100 ms. Returns the change of phase that this
     * gateway decides now, if any. A phase adopted from a peer is not returned, but is to be written to the store too.
     *
     * @param peersOpenOnPrevious requests of peers that are open on endpoints of the old side
     */
    public fun review(peersOpenOnPrevious: Int): RolloutTransition? = null
}
