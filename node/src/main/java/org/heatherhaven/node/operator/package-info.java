/** The operators' pages (status, metrics, policy, explanations of decisions) and the decision log. */
package org.heatherhaven.node.operator;
