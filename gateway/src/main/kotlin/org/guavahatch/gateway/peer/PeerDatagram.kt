package org.guavahatch.gateway.peer

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Datagram between gateways, in CBOR with numbered fields. All accounts together make up most of it and are sent less
 * often than the load and the accounts that have changed. Unknown fields are ignored and missing ones have defaults, so
 * gateways of different versions understand each other.
 *
 * @property name name of the sender
 * @property incarnation incarnation of the sender
 * @property sequence number of the datagram, rising within an incarnation from a random first number
 * @property echoes highest sequence received from each peer that wants it, or null if left out; all peers get the same
 * datagram
 * @property configurationVersion version of the configuration in force at the sender
 * @property configurationAge milliseconds since that version was confirmed as the newest, or -1
 * @property load the sender's requests, their prompt tokens that are not prefilled yet, and the tokens of memory that
 * they hold, by endpoint; earlier versions leave out the last
 * @property accountUse units admitted since the sender's start, by account, or null if left out
 * @property accountLevels units left, by account, or null if left out
 * @property waiting order of the highest rank that waits and the number of its requests, by pool; if the sender prefers
 * its zone or shares pools between accounts, followed by the number of requests that may leave the zone, or -1; with
 * fair shares then by the lowest weighted use of their accounts and the number of requests of these accounts
 * @property wantsEcho whether the sender needs echoes to confirm its configuration; senders of earlier versions, which
 * leave it out, always do
 * @property changedUse [accountUse] of the accounts that have changed since the last datagram with [accountUse]
 * @property crashes ends of endpoints that the sender has observed
 * @property answeredParts milliseconds since the latest answer to a request with a suspected prompt part, by part
 * @property quarantines milliseconds for which requests are still held back, by their prompt parts
 * @property returns number of rejected callers that the sender expects back, by pool, order and bucket of 250 ms from
 * that of the send; null if left out
 * @property rollouts rollouts of the sender
 * @property zone zone that the sender prefers; empty if it prefers none
 * @property relay what the sender relays of the store; left out if it does not relay
 * @property reserved endpoint that the sender keeps free for a large request, by pool
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class PeerDatagram(
    @CborLabel(1) val name: String,
    @CborLabel(2) val incarnation: String,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val echoes: Map<String, Long>?,
    @CborLabel(5) val configurationVersion: Long,
    @CborLabel(6) val configurationAge: Long,
    @CborLabel(7) val load: Map<String, List<Long>>,
    @CborLabel(8) val accountUse: Map<String, Long>?,
    @CborLabel(9) val accountLevels: Map<String, Long>?,
    @CborLabel(10) val waiting: Map<String, List<Int>>,
    @CborLabel(11) val wantsEcho: Boolean = true,
    @CborLabel(12) val changedUse: Map<String, Long> = emptyMap(),
    @CborLabel(13) val crashes: List<ObservedCrash> = emptyList(),
    @CborLabel(14) val answeredParts: Map<String, Long> = emptyMap(),
    @CborLabel(15) val quarantines: Map<String, Long> = emptyMap(),
    @CborLabel(16) val rollouts: List<RolloutDatagram> = emptyList(),
    @CborLabel(17) val returns: Map<String, Map<Int, List<Int>>>? = null,
    @CborLabel(18) val zone: String = "",
    @EncodeDefault(EncodeDefault.Mode.NEVER) @CborLabel(19) val relay: RelayDatagram? = null,
    @CborLabel(20) val reserved: Map<String, String> = emptyMap(),
)

/**
 * What the sender of a [PeerDatagram] relays of the store.
 *
 * @property zone zone of the sender's instance
 * @property versions version up to which the sender follows each table
 */
@Serializable
internal class RelayDatagram(
    @CborLabel(1) val zone: String,
    @CborLabel(2) val versions: Map<String, Long> = emptyMap(),
)

/**
 * The end of an endpoint in a [PeerDatagram].
 *
 * @property process the process that ended
 * @property age milliseconds since its end
 * @property requests prompt parts of each request without an answer
 */
@Serializable
internal class ObservedCrash(
    @CborLabel(1) val process: String,
    @CborLabel(2) val age: Long,
    @CborLabel(3) val requests: List<String>,
)
