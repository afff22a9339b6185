package org.guavahatch.gateway

/**
 * Names of the headers between callers, gateways and endpoints, provided by the platform adapter.
 *
 * @property requestId id of one attempt of a caller
 * @property timeBudget remaining milliseconds for which the caller waits
 * @property key API key of the caller's account
 * @property account name of the account, set by the gateway
 * @property expectedEndpoint id of the only endpoint that may run the request, set by the gateway
 * @property tokenCount prompt tokens and maximum output tokens, separated by a comma
 * @property lengthHint the caller's estimate of the output tokens, correct at the median but often far off
 * @property promptParts parts of the prompt in order, comma-separated, each an identifier, a colon and its tokens
 * @property notRun present in the response of an endpoint that has not run the request
 * @property endpointLoad in the response of an endpoint: running requests, waiting requests, slots and more,
 * comma-separated
 * @property endpointLeaving in the response of an endpoint: 1 if the endpoint is leaving and wants no new requests
 * @property lastEventId id of the last event that the receiver of a stream has received
 * @property reserved headers that callers must not set; the gateway removes them
 */
data class GatewayHeaders(
    val requestId: String,
    val timeBudget: String,
    val key: String,
    val account: String,
    val expectedEndpoint: String,
    val tokenCount: String,
    val lengthHint: String,
    val promptParts: String,
    val notRun: String,
    val endpointLoad: String,
    val endpointLeaving: String,
    val lastEventId: String,
    val reserved: Set<String>,
)
