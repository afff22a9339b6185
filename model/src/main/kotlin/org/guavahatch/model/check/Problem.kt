package org.guavahatch.model.check

/**
 * A single problem in a document.
 *
 * @property path location of the problem, in the form `$.endpointPools[0].name`
 * @property value text of the offending value, or a placeholder such as `nothing` or `line 3` if there is none
 * @property message complete sentence that states what is expected or allowed
 */
public data class Problem(public val path: String, public val value: String, public val message: String) {
    override fun toString(): String = "$path: $message (found: $value)"
}
