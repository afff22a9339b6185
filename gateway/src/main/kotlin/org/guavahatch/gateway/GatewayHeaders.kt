package org.guavahatch.gateway

/**
 * Names of the headers that callers, gateways and endpoints exchange. An adapter gives them.
 *
 * @property requestId identity of one attempt of a caller
 * @property timeBudget milliseconds that the caller still waits
 * @property key secret of the caller's account
 * @property account name of the account, set by the gateway
 * @property expectedEndpoint id of the endpoint that alone may run the request, set by the gateway
 * @property tokenCount prompt tokens and most output tokens, separated by a comma
 * @property lengthHint the caller's estimate of the output tokens, right at the median but often far off
 * @property notRun tells in an endpoint's answer that it has not run the request
 * @property load in an endpoint's answer: requests running, requests waiting, slots and more, separated by commas
 * @property lastEventId id of the last event that the receiver of a stream has
 * @property reserved headers that a caller must not set; they are removed
 */
data class GatewayHeaders(
    val requestId: String,
    val timeBudget: String,
    val key: String,
    val account: String,
    val expectedEndpoint: String,
    val tokenCount: String,
    val lengthHint: String,
    val notRun: String,
    val load: String,
    val lastEventId: String,
    val reserved: Set<String>,
)
