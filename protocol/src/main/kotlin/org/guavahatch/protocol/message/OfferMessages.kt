package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId

/**
 * Tells a sidecar that a request waits for an endpoint. An offer binds nobody: the request runs only after a [Grant].
 *
 * @property attempt number of the attempt that a grant would start
 * @property rank rank of the request's tier
 * @property account name of the client account
 * @property share weight of the account
 * @property route name of the route
 * @property cost estimated cost, see `CostModel`
 * @property promptCost part of the cost that is for the prompt
 * @property tokens estimated tokens of prompt and output, 0 for applications
 * @property remainingMilliseconds time to the deadline when the message was sent
 * @property dispatch how often the request may be dispatched
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

/** Why a sidecar does not take a request. In each case the request was not and will not be dispatched there. */
@Serializable
public enum class RefusalReason {
    /** The sidecar is stopping or its endpoint is drained. */
    @SerialName("leaving")
    LEAVING,

    /** The sidecar's queue is full. */
    @SerialName("queue-full")
    QUEUE_FULL,

    /** The sidecar does not know the offer, or has withdrawn its reservation. */
    @SerialName("no-reservation")
    NO_RESERVATION,

    /** The endpoint cannot complete the request before its deadline. */
    @SerialName("infeasible")
    INFEASIBLE,

    /** The endpoint could not be connected to. */
    @SerialName("endpoint-unreachable")
    ENDPOINT_UNREACHABLE,

    /** The endpoint belongs to another pool than the offer's route. */
    @SerialName("wrong-pool")
    WRONG_POOL,
}

/** The sidecar does not keep the offer. */
@Serializable
@SerialName("offer-refused")
public data class OfferRefused(override val requestId: RequestId, public val reason: RefusalReason) : RequestMessage

/** The entry instance takes an offer back. */
@Serializable
@SerialName("withdraw")
public data class Withdraw(override val requestId: RequestId) : RequestMessage

/** The sidecar has reserved room at its endpoint for the offered request. */
@Serializable
@SerialName("ready")
public data class Ready(override val requestId: RequestId) : RequestMessage

/** Answer to [Ready]: the request is not to be run here. */
@Serializable
@SerialName("declined")
public data class Declined(override val requestId: RequestId) : RequestMessage
