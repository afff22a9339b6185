package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.Withdraw
import org.guavahatch.scheduling.choice.Candidate
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.choice.PrefixIndex
import org.guavahatch.scheduling.choice.RoutedRequest
import kotlin.random.Random

/** Sends and withdraws offers, and tracks which offers are outstanding. */
internal class OfferTracker(
    private val members: MemberTable,
    private val chooser: EndpointChooser,
    private val random: Random,
    private val initialOffers: Int,
) {
    private val prefixIndex = PrefixIndex()

    /** Offers [request] to at most [initialOffers] endpoints picked by the chooser. */
    fun offerToPreferred(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        val specification = request.specification
        val cachedShares = prefixIndex.cachedShares(specification.prefixBlocks)
        val candidates = members.accepting(specification.pool).map { candidate(it, cachedShares[it.endpoint] ?: 0.0) }
        val routed = RoutedRequest(specification.rank, specification.cost, specification.promptCost)
        return chooser.choose(routed, candidates, initialOffers, random)
            .flatMap { offer(request, members.getValue(it), nowMilliseconds) }
    }

    private fun candidate(member: Member, cachedShare: Double) = Candidate(
        endpoint = member.endpoint,
        digest = member.digest,
        outstandingRequests = member.granted.size + member.offered.size,
        costSinceDigest = member.costSinceDigest,
        cachedPromptShare = cachedShare,
        isLocalZone = member.isLocalZone,
    )

    /** Offers [request] to every accepting endpoint of its pool that does not have an outstanding offer of it. */
    fun offerToAll(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.isOfferedToAll = true
        return members.accepting(request.specification.pool).flatMap { offer(request, it, nowMilliseconds) }
    }

    /** Offers to [member] those of [requests] that are offered to the whole pool or to no endpoint. */
    fun offerWaiting(requests: List<TrackedRequest>, member: Member, nowMilliseconds: Long): List<DispatchEffect> =
        requests
            .filter { it.specification.pool == member.pool && (it.isOfferedToAll || it.offeredTo.isEmpty()) }
            .flatMap { offer(it, member, nowMilliseconds) }

    private fun offer(request: TrackedRequest, member: Member, nowMilliseconds: Long): List<DispatchEffect> {
        if (!request.offeredTo.add(member.endpoint)) return emptyList()
        member.offered.add(request.requestId)
        val specification = request.specification
        val message = Offer(
            requestId = request.requestId,
            attempt = request.attempt,
            rank = specification.rank,
            account = specification.account,
            share = specification.share,
            route = specification.route,
            cost = specification.cost,
            promptCost = specification.promptCost,
            tokens = specification.tokens,
            remainingMilliseconds = specification.deadlineMilliseconds - nowMilliseconds,
            dispatch = specification.dispatch,
        )
        return listOf(DispatchEffect.Send(member.endpoint, message))
    }

    /** Removes the outstanding offer of [request] to [endpoint]. */
    fun close(request: TrackedRequest, endpoint: EndpointId) {
        request.offeredTo.remove(endpoint)
        request.readyEndpoints.remove(endpoint)
        members[endpoint]?.offered?.remove(request.requestId)
    }

    /** Withdraws all outstanding offers of [request]. */
    fun withdrawAll(request: TrackedRequest): List<DispatchEffect> {
        val endpoints = request.offeredTo.toList()
        endpoints.forEach { close(request, it) }
        return endpoints.map { DispatchEffect.Send(it, Withdraw(request.requestId)) }
    }

    /** Adds the cost of [request] to the load of [member], and records that [member] will cache its prompt. */
    fun recordGrant(request: TrackedRequest, member: Member) {
        member.costSinceDigest += request.specification.cost
        prefixIndex.record(request.specification.prefixBlocks, member.endpoint)
    }

    /** Discards the cached prefixes known for [endpoint]. */
    fun forgetCache(endpoint: EndpointId) = prefixIndex.forget(endpoint)
}
