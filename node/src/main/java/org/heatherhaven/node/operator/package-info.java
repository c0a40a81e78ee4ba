/** The operators' listener: status, metrics, policy, explanations. */
package org.heatherhaven.node.operator;
