/** Operator commands, which send HTTP requests to the operator listener of a node. */
package org.heatherhaven.cli.operator;
