package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId

/**
 * Informs a sidecar that a request waits for an endpoint. An offer is not binding: the request runs only after a
 * [Grant].
 *
 * @property attempt number of the attempt that a grant would start
 * @property rank rank of the request's tier
 * @property account name of the client account
 * @property share weight of the account relative to other accounts in the same tier
 * @property route name of the route
 * @property cost estimated cost, see `CostModel`
 * @property promptCost part of [cost] that is caused by the prompt
 * @property tokens estimated number of prompt and output tokens, 0 for applications
 * @property remainingMilliseconds time from sending the message to the deadline
 * @property dispatch whether the request may be dispatched more than once
 */
@Serializable
@SerialName("offer")
public data class Offer(
    override val requestId: RequestId,
    public val attempt: Int,
    public val rank: Int,
    public val account: String,
    public val share: Int,
    public val route: String,
    public val cost: Double,
    public val promptCost: Double,
    public val tokens: Long,
    public val remainingMilliseconds: Long,
    public val dispatch: DispatchRule,
) : RequestMessage

/** Why a sidecar refuses a request. In each case the sidecar has not dispatched the request and will not do so. */
@Serializable
public enum class RefusalReason {
    /** The sidecar is stopping or its endpoint is drained. */
    @SerialName("leaving")
    LEAVING,

    /** The sidecar's queue is full. */
    @SerialName("queue-full")
    QUEUE_FULL,

    /** The sidecar does not have the offer or has withdrawn the reservation. */
    @SerialName("no-reservation")
    NO_RESERVATION,

    /** The endpoint cannot complete the request before its deadline. */
    @SerialName("infeasible")
    INFEASIBLE,

    /** No connection to the endpoint could be established. */
    @SerialName("endpoint-unreachable")
    ENDPOINT_UNREACHABLE,

    /** The endpoint belongs to a different pool than the one that the route of the offer uses. */
    @SerialName("wrong-pool")
    WRONG_POOL,
}

/** The sidecar rejects the offer. */
@Serializable
@SerialName("offer-refused")
public data class OfferRefused(override val requestId: RequestId, public val reason: RefusalReason) : RequestMessage

/** The entry instance withdraws an offer. */
@Serializable
@SerialName("withdraw")
public data class Withdraw(override val requestId: RequestId) : RequestMessage

/** The sidecar has reserved capacity at its endpoint for the offered request. */
@Serializable
@SerialName("ready")
public data class Ready(override val requestId: RequestId) : RequestMessage

/** Reply to [Ready]: the receiver must not run the request. */
@Serializable
@SerialName("declined")
public data class Declined(override val requestId: RequestId) : RequestMessage
