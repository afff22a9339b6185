package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.Withdraw
import org.guavahatch.scheduling.choice.Candidate
import org.guavahatch.scheduling.choice.EndpointChooser
import org.guavahatch.scheduling.choice.PrefixIndex
import org.guavahatch.scheduling.choice.RoutedRequest
import kotlin.random.Random

/** Makes offers and takes them back, and knows which are open. */
internal class OfferBoard(
    private val members: MemberTable,
    private val chooser: EndpointChooser,
    private val random: Random,
    private val initialOffers: Int,
) {
    private val prefixes = PrefixIndex()

    /** Offers [request] to the endpoints that the chooser prefers. */
    fun offerToBest(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        val specification = request.specification
        val shares = prefixes.cachedShares(specification.prefixBlocks)
        val candidates = members.accepting(specification.pool).map { candidate(it, shares[it.endpoint] ?: 0.0) }
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

    /** Offers [request] to all endpoints of its pool that do not have it yet. */
    fun offerToAll(request: TrackedRequest, nowMilliseconds: Long): List<DispatchEffect> {
        request.isWide = true
        return members.accepting(request.specification.pool).flatMap { offer(request, it, nowMilliseconds) }
    }

    /** Offers to [member] those of [requests] that are offered to all, or to nobody. */
    fun offerOpen(requests: List<TrackedRequest>, member: Member, nowMilliseconds: Long): List<DispatchEffect> =
        requests
            .filter { it.specification.pool == member.pool && (it.isWide || it.offeredTo.isEmpty()) }
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

    /** Notes that the offer of [request] to [endpoint] is not open any more. */
    fun close(request: TrackedRequest, endpoint: EndpointId) {
        request.offeredTo.remove(endpoint)
        request.readyAt.remove(endpoint)
        members[endpoint]?.offered?.remove(request.requestId)
    }

    /** Takes all open offers of [request] back. */
    fun withdrawAll(request: TrackedRequest): List<DispatchEffect> {
        val endpoints = request.offeredTo.toList()
        endpoints.forEach { close(request, it) }
        return endpoints.map { DispatchEffect.Send(it, Withdraw(request.requestId)) }
    }

    /** Notes that [member] computes the prompt of [request]. */
    fun noteGrant(request: TrackedRequest, member: Member) {
        member.costSinceDigest += request.specification.cost
        prefixes.note(request.specification.prefixBlocks, member.endpoint)
    }

    /** Forgets what [endpoint] has cached. */
    fun forgetCache(endpoint: EndpointId) = prefixes.forget(endpoint)
}
